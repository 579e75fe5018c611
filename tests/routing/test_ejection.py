"""Which instances are ejected while the others are full or children fail."""

import asyncio
import dataclasses

import pytest

from kumquatridge.calls import body as call_body
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import load_reports
from kumquatridge.calls import outcomes
from kumquatridge.routing import choices
from kumquatridge.routing import chooser as routing
from tests import calls_factory
from tests.routing import fleet

OPEN = call_importance.Importance.BACKGROUND
FULL = load_reports.LoadReport(OPEN, 0, 127, 80, 35, 20.0)
IDLE = load_reports.LoadReport(OPEN, 0, 127, 1, 35, 20.0)
ANSWER = outcomes.Completed(200, (), call_body.EMPTY)
NAMES = ("suspect", "other-1", "other-2")
CALLS = 40
QUICK_S = 0.02
SLOW_S = 0.4


async def end_call(
    chooser: routing.InstanceChooser,
    instance: str,
    outcome: outcomes.Outcome,
    after_s: float = 0.0,
) -> None:
    """Has a call at an instance end after a time."""
    with chooser.track(calls_factory.make_call(), instance) as record:
        await asyncio.sleep(after_s)
        record.finish(outcome)


async def report_all(
    chooser: routing.InstanceChooser, report: load_reports.LoadReport
) -> None:
    """Has each instance but the suspect report its load."""
    answer = dataclasses.replace(ANSWER, report=report)
    for name in NAMES[1:]:
        await end_call(chooser, name, answer, QUICK_S)


def is_ejected(chooser: routing.InstanceChooser) -> bool:
    """Tells whether the suspect gets none but test calls."""
    chosen = 0
    for _ in range(CALLS):
        match chooser.choose(calls_factory.make_call(), frozenset()):
            case choices.Chosen(member):
                chosen += member.instance == NAMES[0]
            case choices.NoneLeft():
                pass
    return chosen <= 1


async def make_chooser() -> routing.InstanceChooser:
    """Returns a chooser that knows how long calls typically take."""
    table = fleet.make_table([fleet.make_member(name) for name in NAMES])
    chooser = routing.InstanceChooser(table, seed=1)
    for name in NAMES:
        for _ in range(CALLS):
            await end_call(chooser, name, ANSWER, QUICK_S)
    return chooser


@dataclasses.dataclass(frozen=True, slots=True)
class FailureCase:
    """How the suspect's calls end, and whether that ejects it."""

    outcome: outcomes.Outcome
    is_ejected: bool


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            FailureCase(outcomes.Completed(502, (), call_body.EMPTY), True),
            id="its own failure",
        ),
        pytest.param(
            FailureCase(
                outcomes.Completed(502, (), call_body.EMPTY, child_failed=True),
                False,
            ),
            id="its child's failure",
        ),
        pytest.param(
            FailureCase(outcomes.Unknown("connection lost"), True),
            id="connection lost",
        ),
    ],
)
async def test_failures(case: FailureCase) -> None:
    chooser = await make_chooser()
    for _ in range(10):
        await end_call(chooser, NAMES[0], case.outcome)
    assert is_ejected(chooser) is case.is_ejected


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("report", "expected"),
    [
        pytest.param(IDLE, True, id="others have room"),
        pytest.param(FULL, False, id="others are full"),
    ],
)
async def test_slow_instance_beside_others(
    report: load_reports.LoadReport, expected: bool
) -> None:
    chooser = await make_chooser()
    for _ in range(10):
        await report_all(chooser, report)
        await end_call(chooser, NAMES[0], ANSWER, SLOW_S)
    await report_all(chooser, report)
    assert is_ejected(chooser) is expected


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        pytest.param(ANSWER, False, id="slow comes back"),
        pytest.param(
            outcomes.Completed(502, (), call_body.EMPTY),
            True,
            id="failing stays out",
        ),
    ],
)
async def test_ejection_when_the_others_become_full(
    outcome: outcomes.Outcome, expected: bool
) -> None:
    chooser = await make_chooser()
    for _ in range(10):
        await report_all(chooser, IDLE)
        await end_call(chooser, NAMES[0], outcome, SLOW_S)
    assert is_ejected(chooser)
    for _ in range(10):
        await report_all(chooser, FULL)
    assert is_ejected(chooser) is expected
