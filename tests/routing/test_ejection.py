"""Ejection of outliers when the others are full or child calls fail.

Guards against ejecting an instance because its child calls fail, and against
concentrating the load on full instances by ejecting one that is only slow.
"""

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

LOWEST_IMPORTANCE = call_importance.Importance.BACKGROUND
# Both reports admit calls of every rank. The last three values are the calls
# queued or in progress, the limit and the typical latency in milliseconds.
FULL = load_reports.LoadReport(LOWEST_IMPORTANCE, 0, 127, 80, 35, 20.0)
IDLE = load_reports.LoadReport(LOWEST_IMPORTANCE, 0, 127, 1, 35, 20.0)
ANSWER = outcomes.Completed(200, (), call_body.EMPTY)
INSTANCES = ("tested", "other-1", "other-2")
# The number of calls of each instance for the latency estimates, and the number
# of selections that `is_ejected` makes.
CALLS = 40
FAST_S = 0.02
# Twenty times the typical latency; four times is enough for an ejection.
SLOW_S = 0.4


async def run_call(
    chooser: routing.InstanceChooser,
    instance: str,
    outcome: outcomes.Outcome,
    service_s: float = 0.0,
) -> None:
    """Runs a call at an instance; it ends with `outcome` after `service_s`."""
    with chooser.track(calls_factory.make_call(), instance) as record:
        await asyncio.sleep(service_s)
        record.finish(outcome)


async def report_from_others(
    chooser: routing.InstanceChooser, report: load_reports.LoadReport
) -> None:
    """Has each instance but the tested one report its load."""
    answer = dataclasses.replace(ANSWER, report=report)
    for instance in INSTANCES[1:]:
        await run_call(chooser, instance, answer, FAST_S)


def is_ejected(chooser: routing.InstanceChooser) -> bool:
    """Returns whether the tested instance receives one probe at most."""
    chosen = 0
    for _ in range(CALLS):
        match chooser.choose(calls_factory.make_call(), frozenset()):
            case choices.Chosen(member):
                chosen += member.instance == INSTANCES[0]
            case choices.NoneAvailable():
                pass
    return chosen <= 1


async def make_chooser() -> routing.InstanceChooser:
    """Returns a chooser with latency estimates for the route."""
    table = fleet.make_table(
        [fleet.make_member(instance) for instance in INSTANCES]
    )
    chooser = routing.InstanceChooser(table, seed=1)
    for instance in INSTANCES:
        for _ in range(CALLS):
            await run_call(chooser, instance, ANSWER, FAST_S)
    return chooser


@dataclasses.dataclass(frozen=True, slots=True)
class FailureCase:
    """How the calls of the tested instance end, and whether it is ejected."""

    outcome: outcomes.Outcome
    is_ejected: bool


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            FailureCase(outcomes.Completed(502, (), call_body.EMPTY), True),
            id="own failure",
        ),
        pytest.param(
            FailureCase(
                outcomes.Completed(502, (), call_body.EMPTY, child_failed=True),
                False,
            ),
            id="failure of a child call",
        ),
        pytest.param(
            FailureCase(outcomes.Unknown("connection lost"), True),
            id="connection lost",
        ),
    ],
)
async def test_own_failures_eject_and_failures_of_children_do_not(
    case: FailureCase,
) -> None:
    chooser = await make_chooser()
    # Twice the number of consecutive failures that eject an instance.
    for _ in range(10):
        await run_call(chooser, INSTANCES[0], case.outcome)
    assert is_ejected(chooser) is case.is_ejected


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("report", "expected"),
    [
        pytest.param(IDLE, True, id="others have free slots"),
        pytest.param(FULL, False, id="others are full"),
    ],
)
async def test_slow_instance_is_ejected_unless_others_are_full(
    report: load_reports.LoadReport, expected: bool
) -> None:
    chooser = await make_chooser()
    # Twice the number of samples that an ejection needs.
    for _ in range(10):
        await report_from_others(chooser, report)
        await run_call(chooser, INSTANCES[0], ANSWER, SLOW_S)
    await report_from_others(chooser, report)
    assert is_ejected(chooser) is expected


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        pytest.param(ANSWER, False, id="slow is readmitted"),
        pytest.param(
            outcomes.Completed(502, (), call_body.EMPTY),
            True,
            id="failing stays ejected",
        ),
    ],
)
async def test_only_slow_instance_is_readmitted_when_others_become_full(
    outcome: outcomes.Outcome, expected: bool
) -> None:
    chooser = await make_chooser()
    for _ in range(10):
        await report_from_others(chooser, IDLE)
        await run_call(chooser, INSTANCES[0], outcome, SLOW_S)
    assert is_ejected(chooser)
    for _ in range(10):
        await report_from_others(chooser, FULL)
    assert is_ejected(chooser) is expected
