"""What relays see of the platform, and how it spreads to the others."""

import asyncio

import pytest

from kumquatridge.settings import instances
from kumquatridge.settings import platform_reach
from tests.settings import fixtures
from tests.settings import fleet

OUTAGE_S = 600.0
ANSWER = "answer"
SILENCE = "silence"
STOP = "stop"


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("seen", "expected"),
    [
        pytest.param([], [], id="never called"),
        pytest.param(
            [ANSWER, ANSWER],
            [platform_reach.Answering(1000.0)],
            id="answers all the time",
        ),
        pytest.param(
            [ANSWER, ANSWER, SILENCE, SILENCE],
            [platform_reach.Answering(1000.0), platform_reach.Silent(2000.0)],
            id="silent since the last answer",
        ),
        pytest.param(
            [SILENCE, SILENCE, ANSWER],
            [
                platform_reach.NeverAnswered(1000.0),
                platform_reach.Answering(3000.0),
            ],
            id="silent from the first call on",
        ),
        pytest.param(
            [ANSWER, STOP, SILENCE],
            [
                platform_reach.Answering(1000.0),
                platform_reach.NotAsked(),
                platform_reach.NeverAnswered(3000.0),
            ],
            id="an answer to an earlier turn as a relay doesn't count",
        ),
    ],
)
async def test_reach_follows_the_calls(
    seen: list[str], expected: list[platform_reach.PlatformReach]
) -> None:
    found: list[platform_reach.PlatformReach] = []
    observer = platform_reach.ReachObserver(found.append)
    notes = {
        ANSWER: observer.note_answer,
        SILENCE: observer.note_silence,
        STOP: observer.note_stopped,
    }
    for one in seen:
        await asyncio.sleep(1.0)
        notes[one]()
    assert found == expected


@pytest.mark.looptime
@pytest.mark.parametrize(
    "reach",
    [
        pytest.param(platform_reach.Silent(0.0), id="silent"),
        pytest.param(platform_reach.NeverAnswered(0.0), id="never answered"),
        pytest.param(platform_reach.Answering(0.0), id="answering"),
        pytest.param(platform_reach.NotAsked(), id="no relay"),
    ],
)
async def test_a_daemon_that_starts_late_learns_since_when(
    reach: platform_reach.PlatformReach,
) -> None:
    store = fixtures.make_store()
    relay = instances.InstanceTable("relay", store)
    relay.set_platform_reach(reach)
    await asyncio.sleep(OUTAGE_S)
    middle = instances.InstanceTable("middle", fixtures.make_store())
    fleet.pull(middle, relay)
    await asyncio.sleep(OUTAGE_S)
    late = instances.InstanceTable("late", fixtures.make_store())
    fleet.pull(late, middle)
    assert instances.RelayReach("relay", reach) in late.get_platform_reaches()
