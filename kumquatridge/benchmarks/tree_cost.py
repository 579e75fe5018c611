"""Measures the cost of a settings tree for a relay, by size of the tree.

A relay is a daemon that reads the settings from the platform for its data
centre. Memory is the growth of the process, times are processor time, and bytes
are those of the platform's answers.
"""

import asyncio
import dataclasses
import json
import time

import click
import msgspec
import psutil

from kumquatridge.benchmarks import changes
from kumquatridge.encoding import settings_text
from kumquatridge.platform import client
from kumquatridge.platform import messages
from kumquatridge.platform import objects
from kumquatridge.settings import credentials
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import store as settings_store
from kumquatridge.standins import platform_store
from kumquatridge.telemetry import settings_counts

BYTES_PER_MB = 1e6
MS_PER_S = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class TreeCost:
    """Cost of one tree for a relay.

    `listing_bytes` is the size of a listing of all nodes, `revisions_bytes` of
    one that omits their contents, and `most_object_bytes` of the largest node.
    """

    nodes: int
    first_listing_ms: float
    memory_mb: float
    change_ms: float
    listing_bytes: int
    revisions_bytes: int
    most_object_bytes: int


async def measure(size: changes.TreeSize, change_count: int) -> TreeCost:
    """Lists a tree as a relay does, then merges changes of single nodes."""
    platform = platform_store.PlatformStore()
    connection = platform.connect()
    operator = changes.Operator(connection)
    await operator.write_tree(size)
    store = _make_store()
    before_bytes = psutil.Process().memory_info().rss
    started_s = time.process_time()
    store.merge(await _list_records(operator))
    store.mark_complete()
    listed_s = time.process_time() - started_s
    growth_bytes = psutil.Process().memory_info().rss - before_bytes
    change_s = await _measure_changes(operator, store, size, change_count)
    stored = (await connection.list_objects("settings/")).objects
    encoded_objects = [
        messages.encoder.encode(_make_stored_object(one)) for one in stored
    ]
    revisions = [
        messages.encoder.encode(_make_stored_object(one).metadata)
        for one in stored
    ]
    return TreeCost(
        len(stored),
        round(listed_s * MS_PER_S, 1),
        round(growth_bytes / BYTES_PER_MB, 1),
        round(change_s * MS_PER_S, 1),
        sum(map(len, encoded_objects)),
        sum(map(len, revisions)),
        max(map(len, encoded_objects)),
    )


async def _list_records(
    operator: changes.Operator,
) -> list[settings_record.NodeRecord]:
    listing = await operator.settings_repository.list_nodes()
    return [
        one.record
        for one in listing.objects
        if isinstance(one, settings_record.StoredNode)
    ]


async def _measure_changes(
    operator: changes.Operator,
    store: settings_store.NodeStore,
    size: changes.TreeSize,
    count: int,
) -> float:
    spent_s = 0.0
    for number in range(count):
        await operator.write(changes.list_paths(size)[-1 - number], 1_000)
        records = await _list_records(operator)
        started_s = time.process_time()
        store.merge(records)
        spent_s += time.process_time() - started_s
    return spent_s / count


def _make_store() -> settings_store.NodeStore:
    return settings_store.NodeStore(
        settings_store.StoreSettings(
            (),
            settings_text.read_defaults(),
            credentials.RecordVerifier(changes.KEY),
        ),
        settings_counts.SettingsCounts(),
    )


def _make_stored_object(one: objects.PlatformObject) -> messages.StoredObject:
    _, name = client.split_key(one.key)
    metadata = messages.Metadata(name, one.version)
    return messages.StoredObject(metadata, msgspec.Raw(one.value or b"null"))


@click.command()
@click.option("--changes", "change_count", default=10)
def main(change_count: int) -> None:
    """Measures a relay's cost for a small tree and one of the target size."""
    for size in (changes.SMALL, changes.TARGET):
        cost = asyncio.run(measure(size, change_count))
        click.echo(json.dumps(dataclasses.asdict(cost)))


if __name__ == "__main__":
    main()
