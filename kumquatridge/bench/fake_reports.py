"""Delayed and falsified load reports between daemons."""

import collections
import dataclasses

from kumquatridge import clock
from kumquatridge.admission import levels
from kumquatridge.calls import load_reports
from kumquatridge.calls import outcomes


@dataclasses.dataclass(frozen=True, slots=True)
class _DelayedReport:
    """A load report and the time `at_ms` at which its answer arrived."""

    at_ms: float
    report: load_reports.LoadReport


class FakeReports:
    """Delays and falsifies the load reports attached to answers."""

    def __init__(self) -> None:
        self._delay_ms = 0.0
        self._falsified_instances: frozenset[str] = frozenset()
        self._pending: dict[str, collections.deque[_DelayedReport]] = {}

    def set_delay(self, delay_ms: float) -> None:
        """Delays the reports of answers from now on; 0 ends the delay.

        Discards reports that are still delayed.
        """
        self._delay_ms = delay_ms
        self._pending.clear()

    def set_falsified_instances(self, instances: frozenset[str]) -> None:
        """Sets the instances whose reports are inverted from now on."""
        self._falsified_instances = instances

    def forward(
        self, instance: str, outcome: outcomes.Outcome
    ) -> outcomes.Outcome:
        """Returns an answer with its load report delayed or falsified."""
        report: load_reports.LoadReport | None = outcome.report
        if report is None or not (self._falsified_instances or self._delay_ms):
            return outcome
        if instance in self._falsified_instances:
            report = invert_load(report)
        if self._delay_ms:
            report = self._delay(instance, report)
        return dataclasses.replace(outcome, report=report)

    def _delay(
        self, instance: str, report: load_reports.LoadReport
    ) -> load_reports.LoadReport | None:
        """Queues a report and returns the newest one that is due.

        None if none has been queued for the delay.
        """
        now_ms = clock.get_now_ms()
        pending = self._pending.setdefault(instance, collections.deque())
        pending.append(_DelayedReport(now_ms, report))
        due_ms = now_ms - self._delay_ms
        while len(pending) > 1 and pending[1].at_ms <= due_ms:
            pending.popleft()
        return pending[0].report if pending[0].at_ms <= due_ms else None


def invert_load(report: load_reports.LoadReport) -> load_reports.LoadReport:
    """Returns a report that swaps free and used slots and admits all calls."""
    level = levels.AdmissionLevel.from_rank(levels.ADMIT_ALL_RANK)
    return dataclasses.replace(
        report,
        importance=level.importance,
        depth_class=level.depth_class,
        threshold=level.threshold,
        in_progress=max(0, report.limit - report.in_progress),
    )
