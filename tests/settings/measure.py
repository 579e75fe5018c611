"""Prints time to in force, calls at rest and the cost of a change.

Run as `python -m tests.settings.measure`. Times of the fleet are virtual,
over a link in memory; the cost of a change is processor time.
"""

import asyncio
import time

import looptime

from kumquatridge.settings import record as settings_record
from kumquatridge.standins import platform_store
from tests.settings import fixtures
from tests.settings import fleet as fleets
from tests.settings import test_relay

REST_S = 240.0
CHANGES = 10
TEAMS = 22
SERVICES = 210
ROUTES = 1_000


async def measure_in_force(daemons: int) -> float:
    """Returns the longest time in seconds of some changes."""
    platform = platform_store.PlatformStore()
    platform.set_faults(platform_store.PlatformFaults(delay_ms=5))
    longest_s = 0.0
    loop = asyncio.get_running_loop()
    async with fleets.Fleet(platform, daemons, 1) as fleet:
        await asyncio.sleep(test_relay.START_S)
        for number in range(1, CHANGES + 1):
            record = await test_relay.write(platform, number)
            started_s = loop.time()
            await fleet.wait_until_in_force(record)
            longest_s = max(longest_s, loop.time() - started_s)
    return longest_s


async def measure_rest(daemons: int) -> platform_store.Meter:
    """Returns the calls to the platform at rest."""
    platform = platform_store.PlatformStore()
    slow_s = test_relay.SLOW_GOSSIP_S
    async with fleets.Fleet(platform, daemons, 1, slow_s):
        await test_relay.write(platform)
        await asyncio.sleep(test_relay.SETTLE_S)
        before = platform.meter
        await asyncio.sleep(REST_S)
        after = platform.meter
    return platform_store.Meter(
        after.reads - before.reads,
        after.writes - before.writes,
        after.watches - before.watches,
        after.waiting_watches,
        after.most_waiting_watches,
    )


def make_big_tree() -> list[settings_record.NodeRecord]:
    """Returns as many nodes as the target size has."""
    services = [f"/team-{one % TEAMS}/s{one}" for one in range(SERVICES)]
    paths = [
        "/",
        *(f"/team-{one}" for one in range(TEAMS)),
        *services,
        *(f"{services[one % SERVICES]}/r{one}" for one in range(ROUTES)),
    ]
    return [fixtures.make_record(path) for path in paths]


def measure_change() -> float:
    """Returns the milliseconds that a store spends on one change."""
    store = fixtures.make_store()
    store.merge(make_big_tree())
    started_s = time.process_time()
    for version in range(2, 2 + CHANGES):
        store.merge([fixtures.make_record("/team-1", version)])
    return (time.process_time() - started_s) * 1000.0 / CHANGES


def main() -> None:
    """Prints all figures."""
    for daemons in (2, 8, 64):
        loop = looptime.new_event_loop()
        in_force_s = loop.run_until_complete(measure_in_force(daemons))
        meter = loop.run_until_complete(measure_rest(daemons))
        print(f"{daemons} daemons: in force after {in_force_s:.2f} s; {meter}")
    print(f"one change of 1,233 nodes: {measure_change():.1f} ms")


if __name__ == "__main__":
    main()
