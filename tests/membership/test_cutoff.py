"""An hour without the platform, the other data centres, or both."""

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
RATES = gossip_settings.GossipSettings(heartbeat_ms=4000)
JOINS_LATE = "a6"
HERE = data_centres.Site(
    "landshut", tuple(f"a{one}" for one in range(6)), (JOINS_LATE,)
)
THERE = data_centres.Site("passau", ("b0", "b1"))
SETTLE_S = 120.0
CUT_S = 3600.0
RESTART_AT_S = 1200.0
CALL_INTERVAL_S = 10.0
BACK_BOUND_S = 120.0
PEERS_BOUND_S = 60.0
WATCH_WINDOW_S = 6.0
SUMMARY_INTERVAL_S = 23.0
MINUTE_S = 60.0
READS_PER_DAEMON = 500 * MINUTE_S / 1500
WRITES_PER_DAEMON = 100 * MINUTE_S / 1500


class Back(enum.Enum):
    """What comes back first."""

    TOGETHER = "together"
    PLATFORM = "platform first"
    OTHERS = "others first"


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What one data centre is cut off from, and how it comes back."""

    platform: bool
    others: bool
    back: Back = Back.TOGETHER
    restarts: bool = False

    @property
    def learns_meanwhile(self) -> bool:
        """Tells whether updates of settings have a way in during the cut."""
        return not (self.platform and self.others)


class Watcher:
    """Calls inside the data centre, and sees that no version goes back."""

    def __init__(self, world: data_centres.World) -> None:
        self._world = world
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
            for daemon in self._world.list_daemons(HERE):
                await self._call(daemon)
                self._check_versions(daemon)

    async def _call(self, daemon: data_centres.Daemon) -> None:
        match await daemon.call():
            case outcomes.Completed(200):
                self.outcomes["served"] += 1
            case other:
                self.outcomes[repr(other)] += 1

    def _check_versions(self, daemon: data_centres.Daemon) -> None:
        versions = dict(daemon.store.get_versions())
        for path, version in self._seen.get(daemon, {}).items():
            assert versions.get(path, 0) >= version
        self._seen[daemon] = versions


async def write(world: data_centres.World, deadline_ms: int) -> int:
    """Has an operator write the node; returns its version."""
    nodes = fixtures.connect(world.platform)
    change = writer.Change(
        PATH,
        settings_node.NodeSettings(deadline_ms=deadline_ms),
        await nodes.read(PATH),
    )
    match await fixtures.make_writer(world.platform).write(change):
        case writer.Accepted(_, version):
            return version
        case other:
            raise AssertionError(other)


def has_version(
    world: data_centres.World, site: data_centres.Site, version: int
) -> bool:
    return all(
        one.store.get_versions().get(PATH) == version
        for one in world.list_daemons(site)
    )


def knows_all(world: data_centres.World, case: Case, back: bool) -> bool:
    """Tells whether all know who lives here, and who can be reached there."""
    here = {one.name for one in world.list_daemons(HERE)}
    there = {one.name for one in world.list_daemons(THERE)}
    reachable = bool(back or not case.others)
    return all(
        one.node.get_routable() == here
        and {
            other.instance for other in one.node.table.get_remote(fleet.SERVICE)
        }
        == (there if reachable else set())
        for one in world.list_daemons(HERE)
    )


def check_status(world: data_centres.World, case: Case) -> None:
    """Every daemon says what is cut off, and since when.

    A watch that is open at the cut ends as if nothing had changed.
    """
    for daemon in world.list_daemons(HERE):
        table = daemon.node.table
        platform = fleet_status.describe_platform(table, daemon.versions)
        cut_off_s = fleet_status.get_platform_cut_off_s(platform)
        (there_s,) = fleet_status.get_cut_off_s(table).values()
        if case.platform:
            assert CUT_S - WATCH_WINDOW_S <= cut_off_s <= CUT_S
        else:
            assert cut_off_s == 0.0
        if case.others:
            assert CUT_S <= there_s <= CUT_S + SUMMARY_INTERVAL_S
        else:
            assert there_s == 0.0


def pick_a_third(world: data_centres.World) -> list[str]:
    """Returns daemons to restart, first the one that reports settings."""
    ranked = sorted(
        HERE.daemons,
        key=lambda name: settings_plane.MemberDuty(
            world.daemons[name].node.table
        ).is_reporter(),
        reverse=True,
    )
    return ranked[: len(ranked) // 3]


async def live_cut_off(world: data_centres.World, case: Case) -> int:
    """Passes the hour; returns the version that was written meanwhile."""
    await asyncio.sleep(RESTART_AT_S)
    await world.start_daemon(HERE, JOINS_LATE)
    if case.restarts:
        for name in pick_a_third(world):
            await world.restart(HERE, name)
    await asyncio.sleep(PEERS_BOUND_S)
    assert has_version(world, HERE, 1)
    version = await write(world, 2)
    await asyncio.sleep(CUT_S - RESTART_AT_S - PEERS_BOUND_S)
    assert has_version(world, HERE, version if case.learns_meanwhile else 1)
    assert knows_all(world, case, back=False)
    check_status(world, case)
    return version


async def come_back(
    world: data_centres.World, case: Case, version: int
) -> None:
    match case.back:
        case Back.TOGETHER:
            world.cut_platform(False)
            world.cut_others(False)
        case Back.PLATFORM:
            world.cut_platform(False)
            await check_return(world, version)
            world.cut_others(False)
        case Back.OTHERS:
            world.cut_others(False)
            await check_return(world, version)
            world.cut_platform(False)
    await check_return(world, version)


async def check_return(world: data_centres.World, version: int) -> None:
    """The platform is called within its bounds, and settings are level."""
    before = world.platform.meter
    await asyncio.sleep(MINUTE_S)
    after = world.platform.meter
    daemons = len(world.daemons)
    reads = after.reads - before.reads
    writes = after.writes - before.writes
    print(f"first minute: {reads} reads, {writes} writes of {daemons} daemons")
    assert reads <= READS_PER_DAEMON * daemons
    assert writes <= WRITES_PER_DAEMON * daemons
    await fleet.wait_until(
        lambda: has_version(world, HERE, version), BACK_BOUND_S
    )


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
            Case(True, True, Back.PLATFORM), id="both, platform back first"
        ),
        pytest.param(
            Case(True, True, Back.OTHERS), id="both, others back first"
        ),
        pytest.param(
            Case(True, True, Back.PLATFORM, restarts=True),
            id="both, a third restarts, platform back first",
        ),
        pytest.param(
            Case(True, True, Back.OTHERS, restarts=True),
            id="both, a third restarts, others back first",
        ),
    ],
)
async def test_an_hour_cut_off(case: Case) -> None:
    world = data_centres.World((HERE, THERE), 1, RATES)
    await world.start()
    assert await write(world, 1) == 1
    await asyncio.sleep(SETTLE_S)
    assert has_version(world, HERE, 1)
    assert knows_all(world, case, back=True)
    watcher = Watcher(world)
    async with watcher.watch():
        world.cut_platform(case.platform)
        world.cut_others(case.others)
        version = await live_cut_off(world, case)
        await come_back(world, case, version)
        await fleet.wait_until(
            lambda: knows_all(world, case, back=True), BACK_BOUND_S
        )
    print(f"calls inside the data centre: {dict(watcher.outcomes)}")
    assert set(watcher.outcomes) == {"served"}
    (summary,) = world.daemons["b0"].node.table.remote.data_centres
    assert sum(one.instances for one in summary.services) == 7
    await world.stop()
