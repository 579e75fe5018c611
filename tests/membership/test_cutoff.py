"""A data centre that is cut off for an hour.

It loses the platform, the other data centres, or both. It must go on serving
calls, keep its settings, and not overload the platform when it is back.
"""

import asyncio
import collections
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import enum

import pytest

from kumquatridge.calls import outcomes
from kumquatridge.daemon import settings_plane
from kumquatridge.membership import settings as gossip_settings
from kumquatridge.operators import fleet_status
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import writer
from tests.membership import data_centres
from tests.membership import fleet
from tests.settings import fixtures

PATH = "/team"
# Fewer heartbeats than by default: the tests run for more than an hour of
# virtual time.
RATES = gossip_settings.GossipSettings(heartbeat_ms=4000)
# A daemon that starts during the cut.
LATE_JOINER = "a6"
LOCAL = data_centres.Site(
    "landshut", tuple(f"a{index}" for index in range(6)), (LATE_JOINER,)
)
REMOTE = data_centres.Site("passau", ("b0", "b1"))
# Time before the cut, in which the data centres find each other.
SETTLE_S = 120.0
CUT_S = 3600.0
# When daemons restart and the late joiner starts, from the start of the cut.
RESTART_AT_S = 1200.0
CALL_INTERVAL_S = 10.0
RECOVERY_BOUND_S = 120.0
# Time for started daemons to get the settings from their peers.
PEERS_BOUND_S = 60.0
# Longest intervals, with their jitter: of a watch of the platform (1.2 times
# `watch_window_s`), and of the queries of another data centre (1.5 times
# `remote_interval_ms`, rounded up).
MAX_WATCH_WINDOW_S = 6.0
MAX_SUMMARY_INTERVAL_S = 23.0
MINUTE_S = 60.0
# Calls to the platform in a minute. Its limits are 500 reads and 100 writes a
# second for a fleet of 1500 daemons.
MAX_READS_PER_DAEMON = 500 * MINUTE_S / 1500
MAX_WRITES_PER_DAEMON = 100 * MINUTE_S / 1500


class RecoveryOrder(enum.Enum):
    """What is reconnected first after a cut."""

    TOGETHER = "together"
    PLATFORM = "platform first"
    OTHERS = "others first"


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What the local data centre is cut off from, and how it is reconnected.

    `platform` and `others` (the other data centres) say what is cut. With
    `restarts` a third of the local daemons restart during the cut.
    """

    platform: bool
    others: bool
    recovery: RecoveryOrder = RecoveryOrder.TOGETHER
    restarts: bool = False

    @property
    def gets_updates_while_cut(self) -> bool:
        """Whether updates of settings can reach the data centre while cut."""
        return not (self.platform and self.others)


class Watcher:
    """Makes local calls and checks that no settings version decreases."""

    def __init__(self, simulation: data_centres.Simulation) -> None:
        self._simulation = simulation
        self._seen: dict[data_centres.Daemon, dict[str, int]] = {}
        self.outcomes: collections.Counter[str] = collections.Counter()

    @contextlib.asynccontextmanager
    async def watch(self) -> AsyncIterator[None]:
        """Watches as long as the context is open."""
        task = asyncio.create_task(self._run())
        yield
        assert not task.done(), task.exception()
        task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CALL_INTERVAL_S)
            for daemon in self._simulation.list_daemons(LOCAL):
                await self._call(daemon)
                self._check_versions(daemon)

    async def _call(self, daemon: data_centres.Daemon) -> None:
        match await daemon.call():
            case outcomes.Completed(200):
                self.outcomes["served"] += 1
            case outcome:
                self.outcomes[repr(outcome)] += 1

    def _check_versions(self, daemon: data_centres.Daemon) -> None:
        versions = dict(daemon.store.get_versions())
        for path, version in self._seen.get(daemon, {}).items():
            assert versions.get(path, 0) >= version
        self._seen[daemon] = versions


async def write(simulation: data_centres.Simulation, deadline_ms: int) -> int:
    """Writes the settings node as an operator; returns its version."""
    settings_repository = fixtures.connect(simulation.platform)
    change = writer.Change(
        PATH,
        settings_node.NodeSettings(deadline_ms=deadline_ms),
        await settings_repository.read(PATH),
    )
    match await fixtures.make_writer(simulation.platform).write(change):
        case writer.Accepted(_, version):
            return version
        case outcome:
            raise AssertionError(outcome)


def has_version(
    simulation: data_centres.Simulation, site: data_centres.Site, version: int
) -> bool:
    return all(
        daemon.store.get_versions().get(PATH) == version
        for daemon in simulation.list_daemons(site)
    )


def knows_all(
    simulation: data_centres.Simulation, case: Case, recovered: bool
) -> bool:
    """Returns whether all local daemons know which instances they can reach.

    `recovered` says that nothing is cut, before the cut or after it.
    """
    local = {daemon.name for daemon in simulation.list_daemons(LOCAL)}
    remote = {daemon.name for daemon in simulation.list_daemons(REMOTE)}
    reachable = bool(recovered or not case.others)
    return all(
        daemon.node.get_routable() == local
        and {
            member.instance
            for member in daemon.node.table.get_remote(fleet.SERVICE)
        }
        == (remote if reachable else set())
        for daemon in simulation.list_daemons(LOCAL)
    )


def check_status(simulation: data_centres.Simulation, case: Case) -> None:
    """Expects every local daemon to report what is cut off, and for how long.

    A platform watch that is open at the cut ends as if nothing had changed, so
    that the cut is noticed up to `MAX_WATCH_WINDOW_S` later.
    """
    for daemon in simulation.list_daemons(LOCAL):
        table = daemon.node.table
        platform = fleet_status.describe_platform(table, daemon.versions)
        cut_off_s = fleet_status.get_platform_cut_off_s(platform)
        (remote_s,) = fleet_status.get_data_centre_cut_off_s(table).values()
        if case.platform:
            assert CUT_S - MAX_WATCH_WINDOW_S <= cut_off_s <= CUT_S
        else:
            assert cut_off_s == 0.0
        if case.others:
            assert CUT_S <= remote_s <= CUT_S + MAX_SUMMARY_INTERVAL_S
        else:
            assert remote_s == 0.0


def pick_third(simulation: data_centres.Simulation) -> list[str]:
    """Returns a third of the local daemons, the reporter of settings first."""
    ranked = sorted(
        LOCAL.daemons,
        key=lambda name: settings_plane.PlatformRole(
            simulation.daemons[name].node.table
        ).is_reporter(),
        reverse=True,
    )
    return ranked[: len(ranked) // 3]


async def run_cut_off(simulation: data_centres.Simulation, case: Case) -> int:
    """Runs the hour of the cut; returns the settings version written in it."""
    await asyncio.sleep(RESTART_AT_S)
    await simulation.start_daemon(LOCAL, LATE_JOINER)
    if case.restarts:
        for name in pick_third(simulation):
            await simulation.restart(LOCAL, name)
    await asyncio.sleep(PEERS_BOUND_S)
    assert has_version(simulation, LOCAL, 1)
    version = await write(simulation, 2)
    await asyncio.sleep(CUT_S - RESTART_AT_S - PEERS_BOUND_S)
    assert has_version(
        simulation, LOCAL, version if case.gets_updates_while_cut else 1
    )
    assert knows_all(simulation, case, recovered=False)
    check_status(simulation, case)
    return version


async def recover(
    simulation: data_centres.Simulation, case: Case, version: int
) -> None:
    match case.recovery:
        case RecoveryOrder.TOGETHER:
            simulation.cut_platform(False)
            simulation.cut_others(False)
        case RecoveryOrder.PLATFORM:
            simulation.cut_platform(False)
            await check_recovery(simulation, version)
            simulation.cut_others(False)
        case RecoveryOrder.OTHERS:
            simulation.cut_others(False)
            await check_recovery(simulation, version)
            simulation.cut_platform(False)
    await check_recovery(simulation, version)


async def check_recovery(
    simulation: data_centres.Simulation, version: int
) -> None:
    """Expects few calls to the platform, and settings of the given version."""
    before = simulation.platform.meter
    await asyncio.sleep(MINUTE_S)
    after = simulation.platform.meter
    daemons = len(simulation.daemons)
    reads = after.reads - before.reads
    writes = after.writes - before.writes
    print(f"first minute: {reads} reads, {writes} writes of {daemons} daemons")
    assert reads <= MAX_READS_PER_DAEMON * daemons
    assert writes <= MAX_WRITES_PER_DAEMON * daemons
    await fleet.wait_until(
        lambda: has_version(simulation, LOCAL, version), RECOVERY_BOUND_S
    )


# The booleans of a case say whether the platform and the others are cut off.
@pytest.mark.looptime(noop_cycles=1)
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(Case(True, False), id="platform"),
        pytest.param(
            Case(True, False, restarts=True), id="platform, a third restarts"
        ),
        pytest.param(Case(False, True), id="others"),
        pytest.param(
            Case(False, True, restarts=True), id="others, a third restarts"
        ),
        pytest.param(Case(True, True), id="both, back together"),
        pytest.param(
            Case(True, True, RecoveryOrder.PLATFORM),
            id="both, platform back first",
        ),
        pytest.param(
            Case(True, True, RecoveryOrder.OTHERS), id="both, others back first"
        ),
        pytest.param(
            Case(True, True, RecoveryOrder.PLATFORM, restarts=True),
            id="both, a third restarts, platform back first",
        ),
        pytest.param(
            Case(True, True, RecoveryOrder.OTHERS, restarts=True),
            id="both, a third restarts, others back first",
        ),
    ],
)
async def test_data_centre_survives_an_hour_cut_off(case: Case) -> None:
    simulation = data_centres.Simulation((LOCAL, REMOTE), 1, RATES)
    await simulation.start()
    assert await write(simulation, 1) == 1
    await asyncio.sleep(SETTLE_S)
    assert has_version(simulation, LOCAL, 1)
    assert knows_all(simulation, case, recovered=True)
    watcher = Watcher(simulation)
    async with watcher.watch():
        simulation.cut_platform(case.platform)
        simulation.cut_others(case.others)
        version = await run_cut_off(simulation, case)
        await recover(simulation, case, version)
        await fleet.wait_until(
            lambda: knows_all(simulation, case, recovered=True),
            RECOVERY_BOUND_S,
        )
    print(f"calls inside the data centre: {dict(watcher.outcomes)}")
    assert set(watcher.outcomes) == {"served"}
    (summary,) = simulation.daemons["b0"].node.table.remote.data_centres
    # The six local daemons and the late joiner.
    assert sum(service.instances for service in summary.services) == 7
    await simulation.stop()
