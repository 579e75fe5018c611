"""Recovery of the load distribution after late or false load reports.

Guards against a sender that keeps avoiding or overloading an instance whose
load reports are outdated or do not match how the instance treats its calls.
"""

import asyncio
import collections
from collections.abc import AsyncIterator, Callable
import contextlib
import dataclasses
import random

import pytest

from kumquatridge import clock
from kumquatridge.admission import controller as admission_controller
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import load_reports
from kumquatridge.calls import outcomes
from kumquatridge.membership import member as members
from tests import calls_factory
from tests.admission import open_loop
from tests.routing import fleet

IMPORTANCE = call_importance.Importance
# The levels of both reports are an importance, a depth class and the highest
# admitted hash bucket. Then follow the calls queued or in progress, the limit
# and the typical latency in milliseconds.
# Admits calls of every rank; no calls in progress.
IDLE = load_reports.LoadReport(
    IMPORTANCE.BACKGROUND, 0, 127, 0, fleet.SLOTS, 100.0
)
# Admits only the highest rank; its calls are eight times its limit.
FULL = load_reports.LoadReport(
    IMPORTANCE.CRITICAL, 3, 0, 8 * fleet.SLOTS, fleet.SLOTS, 100.0
)
INSTANCES = 4
# The name of the instance that reports falsely.
FALSE_REPORTER = "0"
# The actual slots of the false reporter that is full.
FEW_SLOTS = 8
SERVICE_MS = 100.0
# Half of the capacity of four instances with 35 slots each (`fleet.SLOTS`).
RATE_PER_S = 700.0
FALSE_REPORTS_S = 3.0
REPORT_DELAY_MS = 5000.0
# Returns the report that is sent instead of the correct one, its argument.
Distortion = Callable[[load_reports.LoadReport], load_reports.LoadReport]


def keep_report(report: load_reports.LoadReport) -> load_reports.LoadReport:
    """Returns the report unchanged."""
    return report


class DelayedReports:
    """Delays reports by `REPORT_DELAY_MS`.

    The first report is returned until a later one is old enough.
    """

    def __init__(self) -> None:
        self._pending_reports: collections.deque[
            tuple[float, load_reports.LoadReport]
        ] = collections.deque()

    def __call__(
        self, report: load_reports.LoadReport
    ) -> load_reports.LoadReport:
        """Records a report and returns the delayed one."""
        now_ms = clock.get_now_ms()
        self._pending_reports.append((now_ms, report))
        while (
            len(self._pending_reports) > 1
            and self._pending_reports[1][0] < now_ms - REPORT_DELAY_MS
        ):
            self._pending_reports.popleft()
        return self._pending_reports[0][1]


class FalseReportLink(fleet.FleetLink):
    """Distorts the load reports of one instance."""

    def __init__(
        self, distort: Distortion, service_ms: fleet.ServiceMs
    ) -> None:
        super().__init__(service_ms)
        self.distort = distort

    @contextlib.asynccontextmanager
    async def send(
        self, call: calls.Call, member: members.Member
    ) -> AsyncIterator[outcomes.Outcome]:
        """Runs a call at an instance."""
        async with super().send(call, member) as outcome:
            report = outcome.report
            if member.instance == FALSE_REPORTER and report is not None:
                report = self.distort(report)
            yield dataclasses.replace(outcome, report=report)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """How the false reporter distorts its reports, and its actual slots.

    `make_distortion` returns a new distortion, which may have state.
    """

    make_distortion: Callable[[], Distortion]
    slots: int = fleet.SLOTS


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Results during the false reports and after them.

    `p99_after_ms` is the 99th percentile of the latency after them.
    `completed_ratio` is the fraction of calls that completed during the false
    reports. `share_after_ratio` is the fraction of the attempts after them that
    were sent to the false reporter.
    """

    completed_ratio: float
    p99_after_ms: float
    share_after_ratio: float


async def run(distort: Distortion, slots: int) -> RunResult:
    """Runs a load while an instance reports falsely, then correctly."""
    rng = random.Random(1)
    link = FalseReportLink(distort, lambda _: SERVICE_MS)
    link.controllers[FALSE_REPORTER] = admission_controller.AdmissionController(
        slots
    )
    table = fleet.make_table(
        [fleet.make_member(str(index)) for index in range(INSTANCES)]
    )
    senders = [fleet.Sender(table, link) for _ in range(3)]

    def make_call() -> calls.Call:
        return calls_factory.make_call(root_id=str(rng.random()))

    sent = await fleet.run_load(
        senders, RATE_PER_S, FALSE_REPORTS_S, make_call, rng
    )
    link.distort = keep_report
    link.controllers[FALSE_REPORTER].set_slots(fleet.SLOTS)
    # No calls are sent during the lifetime of a report, so that the last ones
    # become outdated.
    await asyncio.sleep(1.0)
    link.sent_instances.clear()
    sent_after = await fleet.run_load(senders, RATE_PER_S, 1.0, make_call, rng)
    return RunResult(
        sum(_is_completed(sent_call.outcome) for sent_call in sent) / len(sent),
        open_loop.get_percentile_ms(
            [sent_call.latency_ms for sent_call in sent_after], 99
        ),
        link.sent_instances.count(FALSE_REPORTER) / len(link.sent_instances),
    )


def _is_completed(outcome: outcomes.Outcome) -> bool:
    match outcome:
        case outcomes.Completed():
            return True
        case _:
            return False


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            Case(lambda: lambda _: IDLE, slots=FEW_SLOTS),
            id="reports idle while full",
        ),
        pytest.param(
            Case(lambda: lambda _: FULL), id="reports full while idle"
        ),
        pytest.param(Case(DelayedReports), id="reports are five seconds old"),
    ],
)
async def test_load_recovers_after_false_reports(case: Case) -> None:
    baseline = await run(keep_report, fleet.SLOTS)
    distorted = await run(case.make_distortion(), case.slots)
    assert distorted.completed_ratio >= 0.99
    assert distorted.p99_after_ms <= 1.5 * baseline.p99_after_ms
    # Half of an equal share of the calls.
    assert distorted.share_after_ratio >= 0.5 / INSTANCES


@pytest.mark.looptime
async def test_single_instance_is_used_although_it_reports_full() -> None:
    link = FalseReportLink(lambda _: FULL, lambda _: SERVICE_MS)
    sender = fleet.Sender(
        fleet.make_table([fleet.make_member(FALSE_REPORTER)]), link
    )
    sent = await fleet.run_load(
        [sender],
        100.0,
        FALSE_REPORTS_S,
        calls_factory.make_call,
        random.Random(1),
    )
    completed_count = sum(
        _is_completed(sent_call.outcome) for sent_call in sent
    )
    assert completed_count >= 0.9 * len(sent)
