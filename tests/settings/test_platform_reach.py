"""The platform reach observed by relays, and its spread by gossip."""

import asyncio

import pytest

from kumquatridge.settings import instances
from kumquatridge.settings import platform_reach
from tests.settings import fixtures
from tests.settings import fleet

# Time before each of the two pulls that spread a state.
GOSSIP_DELAY_S = 600.0
ANSWER = "answer"
FAILURE = "failure"
STOP = "stop"


# The steps follow each other by a second, the first at 1000 ms.
@pytest.mark.looptime
@pytest.mark.parametrize(
    ("call_results", "expected"),
    [
        pytest.param([], [], id="no call yet"),
        pytest.param(
            [ANSWER, ANSWER],
            [platform_reach.Answering(1000.0)],
            id="every call answered",
        ),
        pytest.param(
            [ANSWER, ANSWER, FAILURE, FAILURE],
            [platform_reach.Answering(1000.0), platform_reach.Silent(2000.0)],
            id="silent since the last answer",
        ),
        pytest.param(
            [FAILURE, FAILURE, ANSWER],
            [
                platform_reach.NeverAnswered(1000.0),
                platform_reach.Answering(3000.0),
            ],
            id="silent from the first call until an answer",
        ),
        pytest.param(
            [ANSWER, STOP, FAILURE],
            [
                platform_reach.Answering(1000.0),
                platform_reach.NotAsked(),
                platform_reach.NeverAnswered(3000.0),
            ],
            id="answer from an earlier term as relay does not count",
        ),
    ],
)
async def test_reach_is_derived_from_call_results(
    call_results: list[str], expected: list[platform_reach.PlatformReach]
) -> None:
    reaches: list[platform_reach.PlatformReach] = []
    observer = platform_reach.ReachObserver(reaches.append)
    record_functions = {
        ANSWER: observer.record_answer,
        FAILURE: observer.record_failure,
        STOP: observer.record_relay_stopped,
    }
    for call_result in call_results:
        await asyncio.sleep(1.0)
        record_functions[call_result]()
    assert reaches == expected


@pytest.mark.looptime
@pytest.mark.parametrize(
    "reach",
    [
        pytest.param(platform_reach.Silent(0.0), id="silent"),
        pytest.param(platform_reach.NeverAnswered(0.0), id="never answered"),
        pytest.param(platform_reach.Answering(0.0), id="answering"),
        pytest.param(platform_reach.NotAsked(), id="not a relay"),
    ],
)
async def test_late_daemon_receives_reach_with_its_original_time(
    reach: platform_reach.PlatformReach,
) -> None:
    store = fixtures.make_store()
    relay_table = instances.InstanceTable("relay", store)
    relay_table.set_platform_reach(reach)
    await asyncio.sleep(GOSSIP_DELAY_S)
    intermediate_table = instances.InstanceTable(
        "middle", fixtures.make_store()
    )
    fleet.pull(intermediate_table, relay_table)
    await asyncio.sleep(GOSSIP_DELAY_S)
    late_table = instances.InstanceTable("late", fixtures.make_store())
    fleet.pull(late_table, intermediate_table)
    assert (
        instances.RelayReach("relay", reach)
        in late_table.get_platform_reaches()
    )
