"""Measures how soon a change of settings is in force, and its cost.

Runs the settings and control planes of a data centre's daemons as tasks of
one process over loopback, with the platform stand-in over HTTP. Prints one
line for each size, and one for the processor time of a change in a tree of the
size that the product is designed for.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import pathlib
import time

import click

from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.daemon import settings_plane
from kumquatridge.encoding import settings_text
from kumquatridge.membership import member as members
from kumquatridge.membership import recorder
from kumquatridge.membership import table
from kumquatridge.peers import control
from kumquatridge.platform import repository as platform_repository
from kumquatridge.settings import credentials
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import store as settings_store
from kumquatridge.settings import writer
from kumquatridge.standins import loopback
from kumquatridge.standins import platform
from kumquatridge.standins import platform_store
from kumquatridge.telemetry import settings_counts

TREE_FILE = pathlib.Path(__file__).parents[1] / "demo/tree.jsonc"
OPERATORS = credentials.Credential("/", "benchmark")
PATH = "/benchmark"
# A stopping daemon accepts calls for this time (see `DaemonSettings.drain_ms`);
# short, as no calls arrive by then.
DRAIN_MS = 100
JOIN_TIMEOUT_S = 120.0
JOIN_POLL_INTERVAL_S = 0.5
IN_FORCE_TIMEOUT_S = 30.0
TEAM_COUNT = 22
SERVICE_COUNT = 210
ROUTE_COUNT = 1_000


@dataclasses.dataclass(frozen=True, slots=True)
class FleetReport:
    """Slowest change and platform calls at rest, at one number of daemons.

    `in_force_max_s` is the time until a change was in force at all daemons.
    """

    daemons: int
    in_force_max_s: float
    rest_s: float
    reads: int
    writes: int
    watches: int
    most_waiting_watches: int


@dataclasses.dataclass(frozen=True, slots=True)
class PartialDaemon:
    """Control plane, settings plane and members of one daemon."""

    control: control.ControlPlane
    settings: settings_plane.SettingsPlane
    members: table.MemberTable


def make_daemon(settings: daemon_settings.DaemonSettings) -> PartialDaemon:
    """Returns the planes of a daemon without a worker."""
    own = members.Member(
        settings.instance,
        1,
        settings.data_centre,
        settings.call_address,
        settings.control_address,
        None,
    )
    member_table = table.MemberTable(own)
    peers = control.ControlPlane(settings, member_table, recorder.NoRecorder())
    plane = settings_plane.SettingsPlane(settings, member_table)
    plane.add_topics(peers.gossip, peers.remote)
    return PartialDaemon(peers, plane, member_table)


def make_all_settings(
    count: int, platform_address: str
) -> list[daemon_settings.DaemonSettings]:
    """Returns settings of daemons that have the first one as seed."""
    all_settings: list[daemon_settings.DaemonSettings] = []
    for index in range(count):
        seeds = (all_settings[0].control_address,) if all_settings else ()
        settings = loopback.make_daemon_settings(
            f"instance-{index:04}", TREE_FILE, *seeds, drain_ms=DRAIN_MS
        )
        all_settings.append(
            dataclasses.replace(
                settings,
                platform_address=platform_address,
                settings_key=OPERATORS.key,
            )
        )
    return all_settings


@contextlib.asynccontextmanager
async def run_daemons(
    count: int, platform_address: str
) -> AsyncIterator[list[PartialDaemon]]:
    """Runs the planes of daemons that have all joined each other."""
    daemons = [
        make_daemon(one) for one in make_all_settings(count, platform_address)
    ]
    async with contextlib.AsyncExitStack() as stack:
        for daemon in daemons:
            await stack.enter_async_context(daemon.control)
            await stack.enter_async_context(daemon.settings)
        async with asyncio.timeout(JOIN_TIMEOUT_S):
            for daemon in daemons:
                await _wait_for_others(daemon, count - 1)
        yield daemons


async def _wait_for_others(daemon: PartialDaemon, others: int) -> None:
    while True:
        if len(daemon.members.get_live()) >= others:
            return
        await asyncio.sleep(JOIN_POLL_INTERVAL_S)


async def measure_fleet(count: int, changes: int, rest_s: float) -> FleetReport:
    """Measures one size of the data centre."""
    store = platform_store.PlatformStore()
    address = loopback.get_free_address()
    async with (
        platform.PlatformServer(address, store),
        run_daemons(count, address) as daemons,
    ):
        times_s = [
            await _measure_change(store, daemons, number)
            for number in range(1, changes + 1)
        ]
        await asyncio.sleep(rest_s)
        before = store.meter
        await asyncio.sleep(rest_s)
        after = store.meter
    return FleetReport(
        count,
        round(max(times_s), 2),
        rest_s,
        after.reads - before.reads,
        after.writes - before.writes,
        after.watches - before.watches,
        after.most_waiting_watches,
    )


async def _measure_change(
    store: platform_store.PlatformStore,
    daemons: list[PartialDaemon],
    number: int,
) -> float:
    """Writes a node; returns the seconds until all daemons have it."""
    repository = platform_repository.PlatformRepository(store.connect())
    settings = settings_node.NodeSettings(deadline_ms=number)
    change = writer.Change(PATH, settings, await repository.read(PATH))
    operator = writer.WriterSettings("benchmark", OPERATORS)
    await writer.NodeWriter(operator, repository).write(change)
    started_s = time.monotonic()
    async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
        for daemon in daemons:
            while daemon.settings.store.get_versions().get(PATH, 0) < number:
                await daemon.settings.store.changes.wait()
    return time.monotonic() - started_s


def make_records(version: int) -> list[settings_record.NodeRecord]:
    """Returns records of all nodes of a tree of the design size."""
    services = [
        f"/team-{number % TEAM_COUNT}/s{number}"
        for number in range(SERVICE_COUNT)
    ]
    paths = [
        "/",
        *(f"/team-{number}" for number in range(TEAM_COUNT)),
        *services,
        *(
            f"{services[number % SERVICE_COUNT]}/r{number}"
            for number in range(ROUTE_COUNT)
        ),
    ]
    return [_make_record(path, version) for path in paths]


def _make_record(path: str, version: int) -> settings_record.NodeRecord:
    record = settings_record.NodeRecord(
        path, version, settings_node.NodeSettings(), "/", "benchmark", "", 0
    )
    return OPERATORS.sign(record)


def measure_change_ms(changes: int) -> float:
    """Returns the processor time per change in a tree of the design size."""
    store = settings_store.NodeStore(
        settings_store.StoreSettings(
            (),
            settings_text.read_defaults(),
            credentials.RecordVerifier(OPERATORS.key),
        ),
        settings_counts.SettingsCounts(),
    )
    store.merge(make_records(version=1))
    records = [_make_record("/team-1", 2 + one) for one in range(changes)]
    started_s = time.process_time()
    for record in records:
        store.merge([record])
    return (time.process_time() - started_s) * 1000.0 / changes


@click.command()
@click.argument("sizes", nargs=-1, type=int, metavar="DAEMONS...")
@click.option("--changes", default=10, help="Changes at each size.")
@click.option("--rest", "rest_s", default=60.0, help="Seconds at rest.")
def main(sizes: tuple[int, ...], changes: int, rest_s: float) -> None:
    """Measures time to in force, calls at rest and the cost of a change."""
    for count in sizes:
        report = asyncio.run(measure_fleet(count, changes, rest_s))
        click.echo(json.dumps(dataclasses.asdict(report)))
    nodes = 1 + TEAM_COUNT + SERVICE_COUNT + ROUTE_COUNT
    spent_ms = measure_change_ms(changes)
    click.echo(f"one change of {nodes} nodes: {spent_ms:.1f} ms")


if __name__ == "__main__":
    main()
