"""Levels and loads on answers that are late or false do no lasting harm."""

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
IDLE = load_reports.LoadReport(
    IMPORTANCE.BACKGROUND, 0, 127, 0, fleet.SLOTS, 100.0
)
FULL = load_reports.LoadReport(
    IMPORTANCE.CRITICAL, 3, 0, 8 * fleet.SLOTS, fleet.SLOTS, 100.0
)
INSTANCES = 4
LIAR = "0"
FEW_SLOTS = 8
SERVICE_MS = 100.0
RATE_PER_S = 700.0
LYING_S = 3.0
LATE_MS = 5000.0
Distort = Callable[[load_reports.LoadReport], load_reports.LoadReport]


def be_honest(report: load_reports.LoadReport) -> load_reports.LoadReport:
    """Returns the report as it is."""
    return report


class LateReports:
    """Gives each report only when it is old; until then the first one."""

    def __init__(self) -> None:
        self._made: collections.deque[tuple[float, load_reports.LoadReport]] = (
            collections.deque()
        )

    def __call__(
        self, report: load_reports.LoadReport
    ) -> load_reports.LoadReport:
        """Returns what was reported long ago."""
        now_ms = clock.get_now_ms()
        self._made.append((now_ms, report))
        while len(self._made) > 1 and self._made[1][0] < now_ms - LATE_MS:
            self._made.popleft()
        return self._made[0][1]


class LyingLink(fleet.FleetLink):
    """Distorts what one instance reports, for a time."""

    def __init__(self, distort: Distort, service_ms: fleet.ServiceMs) -> None:
        super().__init__(service_ms)
        self.distort = distort

    @contextlib.asynccontextmanager
    async def send(
        self, call: calls.Call, member: members.Member
    ) -> AsyncIterator[outcomes.Outcome]:
        """Runs a call at an instance."""
        async with super().send(call, member) as outcome:
            report = outcome.report
            if member.instance == LIAR and report is not None:
                report = self.distort(report)
            yield dataclasses.replace(outcome, report=report)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What the instance reports and how many slots it really has."""

    make_distortion: Callable[[], Distort]
    slots: int = fleet.SLOTS


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """What a run came to, during the lies and after the last one."""

    good_ratio: float
    p99_after_ms: float
    share_after_ratio: float


async def run(distort: Distort, slots: int) -> Seen:
    """Runs a load while an instance reports falsely, then truly."""
    rng = random.Random(1)
    link = LyingLink(distort, lambda _: SERVICE_MS)
    link.controllers[LIAR] = admission_controller.AdmissionController(slots)
    table = fleet.make_table(
        [fleet.make_member(str(index)) for index in range(INSTANCES)]
    )
    senders = [fleet.Sender(table, link) for _ in range(3)]

    def make() -> calls.Call:
        return calls_factory.make_call(root_id=str(rng.random()))

    sent = await fleet.load(senders, RATE_PER_S, LYING_S, make, rng)
    link.distort = be_honest
    link.controllers[LIAR].set_slots(fleet.SLOTS)
    await asyncio.sleep(1.0)
    link.sent.clear()
    after = await fleet.load(senders, RATE_PER_S, 1.0, make, rng)
    return Seen(
        sum(_is_good(one.outcome) for one in sent) / len(sent),
        open_loop.get_percentile_ms([one.latency_ms for one in after], 99),
        link.sent.count(LIAR) / len(link.sent),
    )


def _is_good(outcome: outcomes.Outcome) -> bool:
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
            id="idle while it is full",
        ),
        pytest.param(Case(lambda: lambda _: FULL), id="full while it is idle"),
        pytest.param(Case(LateReports), id="five seconds old"),
    ],
)
async def test_no_lasting_harm(case: Case) -> None:
    honest = await run(be_honest, fleet.SLOTS)
    seen = await run(case.make_distortion(), case.slots)
    assert seen.good_ratio >= 0.99
    assert seen.p99_after_ms <= 1.5 * honest.p99_after_ms
    assert seen.share_after_ratio >= 0.5 / INSTANCES


@pytest.mark.looptime
async def test_a_lone_instance_that_says_it_is_full_is_used() -> None:
    link = LyingLink(lambda _: FULL, lambda _: SERVICE_MS)
    sender = fleet.Sender(fleet.make_table([fleet.make_member(LIAR)]), link)
    sent = await fleet.load(
        [sender], 100.0, LYING_S, calls_factory.make_call, random.Random(1)
    )
    good = sum(_is_good(one.outcome) for one in sent)
    assert good >= 0.9 * len(sent)
