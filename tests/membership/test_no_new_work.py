"""Under load, dead, leaving and paused instances soon get no new calls."""

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
SITE = data_centres.Site(
    "landshut", tuple(f"n{index}" for index in range(DAEMONS))
)
# Calls to the whole fleet: 70 % of what its workers can run.
RATE_PER_S = 0.7 * DAEMONS * data_centres.SLOTS / data_centres.SERVICE_S
# Time for the daemons to find each other before the load starts.
SETTLE_S = 10.0
# Duration of the load before the disruption, and from then on. The latter is
# longer than the pause and all bounds of the cases.
LOAD_BEFORE_S = 2.0
LOAD_AFTER_S = 7.0
# The instance that is disrupted.
VICTIM = SITE.daemons[-1]
DRAIN_S = 3.0
# Longer than the bound for a paused instance.
PAUSE_S = 6.0
# Time limit for all daemons to route to a resumed instance again.
REJOIN_S = 60.0
# Calls so shortly before the end of a pause count as after it, because calls
# that were held back are delivered at that time.
CLOCK_STEP_S = 1e-3
MIN_GOODPUT_RATIO = 0.9


@dataclasses.dataclass(frozen=True, slots=True)
class Dead:
    """The instance stops without notifying its peers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """The instance announces that it leaves, and drains `DRAIN_S` later."""


@dataclasses.dataclass(frozen=True, slots=True)
class Paused:
    """The instance pauses for `PAUSE_S` and then resumes."""


Disruption = Dead | Leaving | Paused


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A disruption of an instance, and the share of lost messages.

    The instance must get no new calls from `bound_s` after the disruption on.
    """

    disruption: Disruption
    drop_ratio: float
    bound_s: float


class LoadGenerator:
    """Sends calls at random times from the daemons other than the victim."""

    def __init__(
        self, simulation: data_centres.Simulation, victim: str
    ) -> None:
        self._simulation = simulation
        self._random = random.Random(simulation.seed)
        self._senders = [
            daemon
            for daemon in simulation.list_daemons(SITE)
            if daemon.name != victim
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


async def disrupt(daemon: data_centres.Daemon, disruption: Disruption) -> None:
    match disruption:
        case Dead():
            await daemon.crash()
        case Leaving():
            registry = worker_registry.WorkerRegistry(
                daemon.node.table,
                daemon.controller,
                daemon.node.gossip.notify_peers,
            )
            registry.leave()
            await asyncio.sleep(DRAIN_S)
            daemon.controller.drain()
        case Paused():
            daemon.node.pause()
            await asyncio.sleep(PAUSE_S)
            daemon.node.resume()


async def check_members_recover(simulation: data_centres.Simulation) -> None:
    """Removes all faults, then expects every daemon to route to all again."""
    names = set(SITE.daemons)
    simulation.network.faults = fleet.Faults()
    await fleet.wait_until(
        lambda: all(
            daemon.node.get_routable() == names
            for daemon in simulation.list_daemons(SITE)
        ),
        REJOIN_S,
    )


async def run_case(
    case: Case, seed: int
) -> tuple[data_centres.Simulation, LoadGenerator, float]:
    """Returns the simulation, the load and the disruption's time in ms."""
    simulation = data_centres.Simulation(
        (SITE,), seed, gossip_settings.GossipSettings()
    )
    await simulation.start()
    await asyncio.sleep(SETTLE_S)
    simulation.network.faults = fleet.Faults(
        drop_ratio=case.drop_ratio, repeat_ratio=case.drop_ratio / 2
    )
    victim = simulation.daemons[VICTIM]
    load = LoadGenerator(simulation, victim.name)
    await load.run(LOAD_BEFORE_S)
    disrupted_at_ms = asyncio.get_running_loop().time() * 1000.0
    disruption = asyncio.create_task(disrupt(victim, case.disruption))
    await load.run(LOAD_AFTER_S)
    await disruption
    return simulation, load, disrupted_at_ms


def find_last_call_s(
    deliveries: list[data_centres.Delivery], disrupted_at_ms: float
) -> float:
    """Returns how long after the disruption the victim got its last call.

    Calls after the time when a paused instance resumes do not count.
    """
    after_s = [
        (delivery.at_ms - disrupted_at_ms) / 1000.0
        for delivery in deliveries
        if delivery.instance == VICTIM
    ]
    return max(call_s for call_s in after_s if call_s < PAUSE_S - CLOCK_STEP_S)


def check_runs(
    simulation: data_centres.Simulation, load: LoadGenerator
) -> None:
    """Expects each call to run once and in time, or to be refused.

    At least `MIN_GOODPUT_RATIO` of the calls must run.
    """
    assert all(
        delivery.at_ms < delivery.expires_at_ms
        for delivery in simulation.started
    )
    # How often each call was started, by its root id.
    runs = collections.Counter(
        delivery.root_id for delivery in simulation.started
    )
    assert set(runs.values()) == {1}
    refused = 0
    for outcome in load.outcomes:
        match outcome:
            case outcomes.Completed(200):
                pass
            case outcomes.NotRun():
                refused += 1
            case unexpected:
                raise AssertionError(unexpected)
    assert len(runs) == len(load.outcomes) - refused
    assert len(runs) >= MIN_GOODPUT_RATIO * len(load.outcomes)


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
async def test_disrupted_instance_gets_no_new_calls(
    case: Case, seed: int
) -> None:
    simulation, load, disrupted_at_ms = await run_case(case, seed)
    last_sent_s = find_last_call_s(simulation.sent, disrupted_at_ms)
    last_started_s = find_last_call_s(simulation.started, disrupted_at_ms)
    print(f"last sent {last_sent_s:.2f} s, last started {last_started_s:.2f} s")
    assert last_started_s <= case.bound_s
    assert last_sent_s <= case.bound_s
    check_runs(simulation, load)
    if case.disruption == Paused():
        await check_members_recover(simulation)
    await simulation.stop()
