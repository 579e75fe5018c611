"""Measures what a restart of all daemons asks of the platform.

Runs control planes that know no seed over loopback, with a platform's
stand-in in memory. Prints one line for each size, of one data centre.
"""

import asyncio
import contextlib
import dataclasses
import json
import random

import click

from kumquatridge.benchmarks import fleet
from kumquatridge.daemon import settings_plane
from kumquatridge.encoding import settings_text
from kumquatridge.membership import recorder
from kumquatridge.platform import contact_repository
from kumquatridge.platform import repository as platform_repository
from kumquatridge.settings import credentials
from kumquatridge.settings import relay
from kumquatridge.settings import store as settings_store
from kumquatridge.standins import platform_store
from kumquatridge.telemetry import settings_counts

PHASE_S = 60.0
TREE = '{"children": {"team": {"children": {"bench": {}}}}}'


@dataclasses.dataclass(frozen=True, slots=True)
class RestartReport:
    """Calls to the platform by one data centre."""

    daemons: int
    first_minute_reads: int
    first_minute_writes: int
    first_minute_watches: int
    most_waiting_watches: int
    rest_reads_per_s: float
    rest_writes_per_s: float
    rest_watches_per_s: float
    rest_waiting_watches: int
    met: bool


async def measure_restart(count: int, phase_s: float) -> RestartReport:
    """Measures one data centre in its first minute and at rest."""
    store = platform_store.PlatformStore()
    counter = recorder.NoRecorder()
    nodes = [
        fleet.make_node(fleet.make_settings(index, ()), index, counter)
        for index in range(count)
    ]
    async with contextlib.AsyncExitStack() as stack:
        for node in nodes:
            await stack.enter_async_context(node.plane)
            await _follow_platform(stack, node, store)
        await asyncio.sleep(phase_s)
        first = store.meter
        await asyncio.sleep(phase_s)
        rest = store.meter
        met = all(len(node.table.get_live()) == count - 1 for node in nodes)
    return RestartReport(
        daemons=count,
        first_minute_reads=first.reads,
        first_minute_writes=first.writes,
        first_minute_watches=first.watches,
        most_waiting_watches=first.most_waiting_watches,
        rest_reads_per_s=(rest.reads - first.reads) / phase_s,
        rest_writes_per_s=(rest.writes - first.writes) / phase_s,
        rest_watches_per_s=(rest.watches - first.watches) / phase_s,
        rest_waiting_watches=rest.waiting_watches,
        met=met,
    )


async def _follow_platform(
    stack: contextlib.AsyncExitStack,
    node: fleet.Node,
    store: platform_store.PlatformStore,
) -> None:
    connection = store.connect()
    contacts = contact_repository.PlatformContacts(connection)
    await stack.enter_async_context(node.plane.make_bootstrap(contacts))
    own = node.table.own
    counts = settings_counts.SettingsCounts()
    await stack.enter_async_context(
        relay.SettingsRelay(
            relay.RelaySettings(own.instance, own.data_centre),
            nodes=platform_repository.PlatformRepository(connection),
            store=_make_store(counts),
            duty=settings_plane.MemberDuty(node.table),
            recorder=counts,
            rng=random.Random(),
        )
    )


def _make_store(
    counts: settings_counts.SettingsCounts,
) -> settings_store.NodeStore:
    tree = settings_text.decode_tree("restart", TREE)
    return settings_store.NodeStore(
        settings_store.StoreSettings(
            tuple(tree.nodes.values()),
            settings_text.read_defaults(),
            credentials.RecordRule(None),
        ),
        counts,
    )


@click.command()
@click.argument("sizes", nargs=-1, type=int, metavar="DAEMONS...")
@click.option("--phase", "phase_s", default=PHASE_S, help="Seconds of each.")
def main(sizes: tuple[int, ...], phase_s: float) -> None:
    """Counts the platform's calls in a restart of a data centre."""
    for count in sizes:
        report = asyncio.run(measure_restart(count, phase_s))
        click.echo(json.dumps(dataclasses.asdict(report)))


if __name__ == "__main__":
    main()
