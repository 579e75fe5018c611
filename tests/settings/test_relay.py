"""Relays deliver every change to all daemons at a bounded cost."""

import asyncio
import dataclasses

import pytest

from kumquatridge.settings import in_force
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import writer
from kumquatridge.standins import platform_store
from tests.settings import fixtures
from tests.settings import fleet as fleets

PATH = "/team"
# Long enough for the relays to start and to watch the platform.
START_S = 10.0
# Time for a change to be in force at all daemons: without faults, and when it
# is missed until the open watches have ended, 6 s at most.
IN_FORCE_TIMEOUT_S = 2.0
WATCH_TIMEOUT_S = 6.0
# Longer than the interval between two listings, 72 s at most with jitter.
MAX_LISTING_DELAY_S = 90.0
# With silent watches, a relay lists revisions about every 8 s: 2 s until it
# takes the watch to be silent, then the length of a watch window, 6 s at most.
SILENT_WATCH_TIMEOUT_S = 14.0
# Time in which the calls of an idle fleet are counted, and time before it.
IDLE_S = 240.0
SETTLE_S = 120.0
# Gossip interval of the tests that run for minutes or longer.
SLOW_GOSSIP_S = 4.0
# Relays of a data centre; see `membership.relays.RELAY_COUNT`.
RELAY_COUNT = 2

Faults = platform_store.PlatformFaults


async def write(
    platform: platform_store.PlatformStore, number: int = 1
) -> settings_record.NodeRecord:
    """Writes the next version of the node `PATH`; returns its record.

    `number` is an arbitrary value for the node to set.
    """
    base = await fixtures.connect(platform).read(PATH)
    settings = settings_node.NodeSettings(deadline_ms=number)
    await fixtures.make_writer(platform).write(
        writer.Change(PATH, settings, base)
    )
    match await fixtures.connect(platform).read(PATH):
        case settings_record.StoredNode(record=record):
            return record
        case _:
            raise AssertionError(f"{PATH} was not written")


@pytest.mark.looptime
@pytest.mark.parametrize("daemons", [1, 2, 8, 64])
async def test_change_is_in_force_everywhere_within_time_limit(
    daemons: int,
) -> None:
    platform = platform_store.PlatformStore()
    platform.set_faults(Faults(delay_ms=5))
    async with fleets.Fleet(platform, daemons, 1) as fleet:
        await asyncio.sleep(START_S)
        for number in range(1, 4):
            record = await write(platform, number)
            async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
                await fleet.wait_until_in_force(record)


@dataclasses.dataclass(frozen=True, slots=True)
class FaultCase:
    """Faults before and after a change.

    The change must be in force everywhere within `timeout_s`. With `is_empty`
    the platform stores no node until the change.
    """

    before: platform_store.PlatformFaults
    after: platform_store.PlatformFaults
    timeout_s: float
    is_empty: bool = False


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            FaultCase(Faults(silent_watches=True), Faults(), WATCH_TIMEOUT_S),
            id="watches silent until reopened",
        ),
        pytest.param(
            FaultCase(
                Faults(silent_watches=True),
                Faults(silent_watches=True),
                SILENT_WATCH_TIMEOUT_S,
            ),
            id="watches silent permanently",
        ),
        pytest.param(
            FaultCase(
                Faults(silent_watches=True),
                Faults(silent_watches=True),
                MAX_LISTING_DELAY_S,
                is_empty=True,
            ),
            id="watches silent permanently and no change known yet",
        ),
        pytest.param(
            FaultCase(Faults(stale_reads=True), Faults(), WATCH_TIMEOUT_S),
            id="reads stale until the change",
        ),
        pytest.param(
            FaultCase(Faults(delay_ms=1_500), Faults(delay_ms=1_500), 10.0),
            id="platform answers slowly",
        ),
    ],
)
async def test_change_is_in_force_despite_platform_fault(
    case: FaultCase,
) -> None:
    platform = platform_store.PlatformStore()
    async with fleets.Fleet(platform, 8, 1) as fleet:
        if not case.is_empty:
            await write(platform)
        await asyncio.sleep(START_S)
        platform.set_faults(case.before)
        await asyncio.sleep(MAX_LISTING_DELAY_S)
        # `write` reads the node first and needs its newest version.
        platform.set_faults(dataclasses.replace(case.before, stale_reads=False))
        record = await write(platform)
        platform.set_faults(case.after)
        async with asyncio.timeout(case.timeout_s):
            await fleet.wait_until_in_force(record)


@pytest.mark.looptime
async def test_one_hour_outage_keeps_settings_and_ends_without_call_burst() -> (
    None
):
    platform = platform_store.PlatformStore()
    async with fleets.Fleet(platform, 8, 1, SLOW_GOSSIP_S) as fleet:
        record = await write(platform)
        await asyncio.sleep(60)
        platform.set_faults(Faults(down=True))
        await asyncio.sleep(3600)
        for daemon in fleet.daemons.values():
            assert fleets.has_version(daemon.store, record)
        platform.set_faults(platform_store.NO_FAULTS)
        before = platform.meter
        record = await write(platform, 2)
        await asyncio.sleep(60)
        assert all(
            fleets.has_version(daemon.store, record)
            for daemon in fleet.daemons.values()
        )
        assert platform.meter.reads - before.reads < 20
        # Two relays in 60 s, with watch windows of at least 4 s.
        assert platform.meter.watches - before.watches < 60 / 2


@pytest.mark.looptime
@pytest.mark.parametrize("daemons", [2, 8, 64])
async def test_idle_platform_calls_are_independent_of_fleet_size(
    daemons: int,
) -> None:
    platform = platform_store.PlatformStore()
    async with fleets.Fleet(platform, daemons, 1, SLOW_GOSSIP_S):
        await write(platform)
        await asyncio.sleep(SETTLE_S)
        before = platform.meter
        await asyncio.sleep(IDLE_S)
        after = platform.meter
    assert after.most_waiting_watches == RELAY_COUNT
    # With jitter a watch window lasts at least 4 s, a listing interval 48 s.
    assert after.watches - before.watches <= RELAY_COUNT * IDLE_S / 4
    assert after.reads - before.reads <= RELAY_COUNT * IDLE_S / 48
    assert after.writes == before.writes


@pytest.mark.looptime
async def test_report_names_lagging_instance() -> None:
    platform = platform_store.PlatformStore()
    async with fleets.Fleet(platform, 8, 1) as fleet:
        await write(platform)
        await asyncio.sleep(START_S)
        lagging_daemon = next(
            daemon for daemon in fleet.daemons.values() if not daemon.is_relay()
        )
        # The daemon ignores what it pulls from now on.
        lagging_daemon.store.merge = lambda entries: None  # type: ignore[method-assign]
        record = await write(platform, 2)
        await asyncio.sleep(60)
        reports = await fixtures.connect(platform).list_reports()
        digest = reports[0].digest
        assert in_force.find_pending(
            reports, digest, {PATH: record.version}
        ) == (
            in_force.PendingChange(
                fleets.DATA_CENTRE,
                f"instance {lagging_daemon.instance} has other versions "
                "in force",
            ),
        )


@pytest.mark.looptime
async def test_damaged_object_is_ignored_and_counted() -> None:
    platform = platform_store.PlatformStore()
    await platform.connect().put("settings/bad", b'{"path": 1}', 0)
    async with fleets.Fleet(platform, 1, 1) as fleet:
        record = await write(platform)
        await fleet.wait_until_in_force(record)
        (daemon,) = fleet.daemons.values()
        assert daemon.counts.rejections == {"damaged": 1}
