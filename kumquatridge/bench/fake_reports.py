"""Reports of load that lag or lie on their way between daemons."""

import collections
import dataclasses

from kumquatridge import clock
from kumquatridge.admission import levels
from kumquatridge.calls import load_reports
from kumquatridge.calls import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class _Said:
    """A report that has yet to arrive."""

    at_ms: float
    report: load_reports.LoadReport


class FakeReports:
    """Holds back and falsifies the reports that ride on answers."""

    def __init__(self) -> None:
        self._late_ms = 0.0
        self._liars: frozenset[str] = frozenset()
        self._held: dict[str, collections.deque[_Said]] = {}

    def set_late(self, late_ms: float) -> None:
        """Lets reports made from now on arrive so much later."""
        self._late_ms = late_ms
        self._held.clear()

    def set_liars(self, liars: frozenset[str]) -> None:
        """Lets these instances say the opposite of their load from now on."""
        self._liars = liars

    def pass_on(
        self, instance: str, outcome: outcomes.Outcome
    ) -> outcomes.Outcome:
        """Returns an instance's answer with the report that rides on it."""
        report: load_reports.LoadReport | None = outcome.report
        if report is None or not (self._liars or self._late_ms):
            return outcome
        if instance in self._liars:
            report = falsify(report)
        if self._late_ms:
            report = self._hold_back(instance, report)
        return dataclasses.replace(outcome, report=report)

    def _hold_back(
        self, instance: str, report: load_reports.LoadReport
    ) -> load_reports.LoadReport | None:
        """Returns the newest report that is old enough to arrive now."""
        now_ms = clock.get_now_ms()
        held = self._held.setdefault(instance, collections.deque())
        held.append(_Said(now_ms, report))
        due_ms = now_ms - self._late_ms
        while len(held) > 1 and held[1].at_ms <= due_ms:
            held.popleft()
        return held[0].report if held[0].at_ms <= due_ms else None


def falsify(report: load_reports.LoadReport) -> load_reports.LoadReport:
    """Returns a report that swaps free and taken slots and admits all."""
    level = levels.AdmissionLevel.from_rank(levels.ADMIT_ALL_RANK)
    return dataclasses.replace(
        report,
        importance=level.importance,
        depth_class=level.depth_class,
        threshold=level.threshold,
        in_progress=max(0, report.limit - report.in_progress),
    )
