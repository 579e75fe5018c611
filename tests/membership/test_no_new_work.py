"""When dead, leaving and paused instances stop getting calls, under load."""

import asyncio
import collections
import dataclasses
import random

import pytest

from kumquatridge.calls import outcomes
from kumquatridge.membership import settings as gossip_settings
from kumquatridge.operators import worker_registry
from tests.membership import data_centres
from tests.membership import fleet

DAEMONS = 24
SITE = data_centres.Site("landshut", tuple(f"n{one}" for one in range(DAEMONS)))
RATE_PER_S = 0.7 * DAEMONS * data_centres.SLOTS / data_centres.SERVICE_S
SETTLE_S = 10.0
LOAD_BEFORE_S = 2.0
LOAD_AFTER_S = 7.0
VICTIM = SITE.daemons[-1]
DRAIN_S = 3.0
PAUSE_S = 6.0
REJOIN_S = 60.0
CLOCK_STEP_S = 1e-3
GOODPUT = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Dead:
    """Ends without a word."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """Says that it leaves, and refuses calls a while later."""


@dataclasses.dataclass(frozen=True, slots=True)
class Paused:
    """Stands still, then goes on as if nothing had happened."""


Fate = Dead | Leaving | Paused


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What becomes of an instance, on which link."""

    fate: Fate
    drop_ratio: float
    bound_s: float


class Load:
    """Calls at random times, each from a daemon other than the victim."""

    def __init__(self, world: data_centres.World, victim: str) -> None:
        self._world = world
        self._random = random.Random(world.seed)
        self._senders = [
            one for one in world.list_daemons(SITE) if one.name != victim
        ]
        self.outcomes: list[outcomes.Outcome] = []

    async def run(self, duration_s: float) -> None:
        """Sends calls and waits for all answers."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + duration_s
        async with asyncio.TaskGroup() as group:
            while loop.time() < ends_s:
                gap_s = self._random.expovariate(RATE_PER_S)
                await asyncio.sleep(gap_s)
                group.create_task(self._send(f"root {ends_s} {loop.time()}"))

    async def _send(self, root_id: str) -> None:
        sender = self._random.choice(self._senders)
        self.outcomes.append(await sender.call(root_id))


async def meet_fate(daemon: data_centres.Daemon, fate: Fate) -> None:
    match fate:
        case Dead():
            await daemon.crash()
        case Leaving():
            registry = worker_registry.WorkerRegistry(
                daemon.node.table,
                daemon.controller,
                daemon.node.gossip.announce_now,
            )
            registry.leave()
            await asyncio.sleep(DRAIN_S)
            daemon.controller.drain()
        case Paused():
            daemon.node.pause()
            await asyncio.sleep(PAUSE_S)
            daemon.node.resume()


async def expect_no_harm(world: data_centres.World) -> None:
    """After a pause nobody stays accused, and all are known again."""
    names = set(SITE.daemons)
    world.network.faults = fleet.Faults()
    await fleet.wait_until(
        lambda: all(
            one.node.get_routable() == names for one in world.list_daemons(SITE)
        ),
        REJOIN_S,
    )


async def run_case(
    case: Case, seed: int
) -> tuple[data_centres.World, Load, float]:
    """Returns the world and load afterwards, and when the fate began, in ms."""
    world = data_centres.World((SITE,), seed, gossip_settings.GossipSettings())
    await world.start()
    await asyncio.sleep(SETTLE_S)
    world.network.faults = fleet.Faults(
        drop_ratio=case.drop_ratio, repeat_ratio=case.drop_ratio / 2
    )
    victim = world.daemons[VICTIM]
    load = Load(world, victim.name)
    await load.run(LOAD_BEFORE_S)
    began_ms = asyncio.get_running_loop().time() * 1000.0
    fate = asyncio.create_task(meet_fate(victim, case.fate))
    await load.run(LOAD_AFTER_S)
    await fate
    return world, load, began_ms


def find_last_s(
    deliveries: list[data_centres.Delivery], began_ms: float
) -> float:
    """Returns how long after its fate began the victim got its last call.

    What comes after a paused instance woke does not count.
    """
    after_s = [
        (one.at_ms - began_ms) / 1000.0
        for one in deliveries
        if one.instance == VICTIM
    ]
    return max(one for one in after_s if one < PAUSE_S - CLOCK_STEP_S)


def check_runs(world: data_centres.World, load: Load) -> None:
    """Each call was run once and in time, or refused and never run."""
    assert all(one.at_ms < one.expires_at_ms for one in world.begun)
    runs = collections.Counter(one.root_id for one in world.begun)
    assert set(runs.values()) == {1}
    refused = 0
    for outcome in load.outcomes:
        match outcome:
            case outcomes.Completed(200):
                pass
            case outcomes.NotRun():
                refused += 1
            case other:
                raise AssertionError(other)
    assert len(runs) == len(load.outcomes) - refused
    assert len(runs) >= GOODPUT * len(load.outcomes)


@pytest.mark.looptime(noop_cycles=1)
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(Case(Dead(), 0.0, 5.0), id="dead"),
        pytest.param(Case(Dead(), 0.2, 5.0), id="dead, losses"),
        pytest.param(Case(Leaving(), 0.0, 3.0), id="leaving"),
        pytest.param(Case(Leaving(), 0.2, 3.0), id="leaving, losses"),
        pytest.param(Case(Paused(), 0.0, 5.0), id="paused"),
        pytest.param(Case(Paused(), 0.2, 5.0), id="paused, losses"),
    ],
)
async def test_no_new_work(case: Case, seed: int) -> None:
    world, load, began_ms = await run_case(case, seed)
    last_sent_s = find_last_s(world.sent, began_ms)
    last_begun_s = find_last_s(world.begun, began_ms)
    print(f"last sent {last_sent_s:.2f} s, last begun {last_begun_s:.2f} s")
    assert last_begun_s <= case.bound_s
    assert last_sent_s <= case.bound_s
    check_runs(world, load)
    if case.fate == Paused():
        await expect_no_harm(world)
    await world.stop()
