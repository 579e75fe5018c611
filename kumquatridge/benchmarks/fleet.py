"""Measures what control costs a daemon as the fleet grows.

Runs control planes as tasks of one process over loopback, and a few daemons
as processes of their own for memory. Prints one line for each size. With
`--parts`, a size is shared out among that many processes, each of which stays
within its limit of open files; changes are not measured then.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable, Mapping
import contextlib
import dataclasses
import json
import pathlib
import statistics
import sys
import tempfile

import click
import psutil

from kumquatridge.benchmarks import processes
from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.membership import member as members
from kumquatridge.membership import recorder
from kumquatridge.membership import table
from kumquatridge.peers import control
from kumquatridge.peers import topic_codec
from kumquatridge.standins import loopback

TOPIC = 99
DRAIN_MS = 100
ENTRY_COUNT = 1050
ENTRY_BYTES = 300
SERVICES = 10
TREE = """{
  "settings": {"importance": "normal", "idempotent": true,
    "deadline_ms": 5000, "retry_allowance": 0, "long_running": false,
    "max_body_bytes": 1000000, "queue_wait_ms": 1000},
  "children": {"team": {"children": {"bench": {}}}}
}"""
SETTLE_TIMEOUT_S = 120.0
CHANGE_TIMEOUT_S = 30.0
POLL_S = 0.01
SEGMENT_BYTES = 66
SEGMENTS_PER_EXCHANGE = 4
ENVELOPE_BYTES = 12
LAST_OCTET = 250
DRAIN_MS = 100
CALL_PORT = 7401
CONTROL_PORT = 7402


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One versioned entry, about the size of a node of the settings."""

    key: str
    version: int
    body: str


class Entries:
    """A gossip source of as many entries as the fleet has nodes."""

    def __init__(self) -> None:
        self._entries = {
            f"/team/service-{index}": Entry(
                f"/team/service-{index}", 1, "x" * ENTRY_BYTES
            )
            for index in range(ENTRY_COUNT)
        }
        self._revision = 0

    @property
    def revision(self) -> int:
        """Changes whenever an entry changes."""
        return self._revision

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of each entry."""
        return {one.key: one.version for one in self._entries.values()}

    def export(self, keys: Iterable[str]) -> tuple[Entry, ...]:
        """Returns some entries."""
        return tuple(self._entries[key] for key in keys)

    def merge(self, entries: Iterable[Entry]) -> None:
        """Takes newer entries."""
        for entry in entries:
            if entry.version > self._entries[entry.key].version:
                self._entries[entry.key] = entry
                self._revision += 1


@dataclasses.dataclass(frozen=True, slots=True)
class RestReport:
    """What one daemon spends when nothing changes.

    `wire_bytes_per_s` adds headers of TCP, IP and Ethernet to the messages
    sent and received, four segments for each exchange.
    """

    messages_per_s: float
    message_bytes_per_s: float
    wire_bytes_per_s: float
    core_ratio: float
    descriptors: float


@dataclasses.dataclass(frozen=True, slots=True)
class SizeReport:
    """What one daemon spends at one size of the data centre."""

    daemons: int
    rest: RestReport
    join_s: float
    change_median_s: float
    change_max_s: float
    change_bytes: float


class ByteCounter(recorder.NoRecorder):
    """Counts the control messages of all planes and their bytes."""

    def __init__(self) -> None:
        self.messages = 0
        self.size_bytes = 0

    def record_control_bytes(self, direction: str, size_bytes: int) -> None:
        """Counts one message."""
        self.messages += 1
        self.size_bytes += size_bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """One control plane of the benchmark."""

    table: table.MemberTable
    plane: control.ControlPlane
    entries: Entries


def make_settings(
    index: int, seeds: tuple[str, ...]
) -> daemon_settings.DaemonSettings:
    """Returns settings of one daemon, on a loopback address of its own."""
    third, fourth = divmod(index, LAST_OCTET)
    host = f"127.1.{third}.{fourth + 1}"
    return daemon_settings.DaemonSettings(
        instance=f"instance-{index:04}",
        data_centre="landshut",
        caller_address=f"{host}:{CALL_PORT}",
        call_address=f"{host}:{CALL_PORT}",
        control_address=f"{host}:{CONTROL_PORT}",
        operator_address=f"{host}:{CALL_PORT}",
        peer_key="benchmark",
        tree_file="",
        seeds=seeds,
    )


def make_node(
    settings: daemon_settings.DaemonSettings,
    index: int,
    counter: recorder.Recorder,
) -> Node:
    """Returns a control plane whose worker has been announced."""
    own = members.Member(
        settings.instance,
        1,
        settings.data_centre,
        settings.call_address,
        settings.control_address,
        members.Announcement(
            f"service-{index % SERVICES}", settings.caller_address, 100, 400
        ),
    )
    known = table.MemberTable(own)
    plane = control.ControlPlane(settings, known, counter)
    entries = Entries()
    plane.gossip.add_topic(topic_codec.make_topic(TOPIC, entries, Entry))
    return Node(known, plane, entries)


@contextlib.asynccontextmanager
async def run_nodes(
    indexes: Iterable[int], counter: ByteCounter
) -> AsyncIterator[list[Node]]:
    """Runs control planes that get to know each other by the first one."""
    seeds = (make_settings(0, ()).control_address,)
    nodes = [
        make_node(make_settings(index, seeds), index, counter)
        for index in indexes
    ]
    async with contextlib.AsyncExitStack() as stack:
        for node in nodes:
            await stack.enter_async_context(node.plane)
        yield nodes


async def measure_size(count: int, rest_s: float, changes: int) -> SizeReport:
    """Measures one size at rest and over some changes."""
    counter = ByteCounter()
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with run_nodes(range(count), counter) as nodes:
        await _wait_until_joined(nodes, count)
        joined = loop.time()
        rest = await _measure_rest(len(nodes), counter, rest_s)
        before_changes = counter.size_bytes
        times_s = [
            await _spread_change(nodes, number) for number in range(changes)
        ]
        changes_s = sum(times_s) + changes
        at_rest = rest.message_bytes_per_s * count * changes_s
        extra = counter.size_bytes - before_changes - at_rest
    return SizeReport(
        daemons=count,
        rest=rest,
        join_s=joined - started,
        change_median_s=statistics.median(times_s),
        change_max_s=max(times_s),
        change_bytes=extra / changes / count,
    )


async def _wait_until_joined(nodes: list[Node], count: int) -> None:
    await _wait_for(
        lambda: all(len(node.table.get_live()) == count - 1 for node in nodes),
        SETTLE_TIMEOUT_S,
    )


async def _measure_rest(
    count: int, counter: ByteCounter, rest_s: float
) -> RestReport:
    """Waits for join news to fade, then measures `count` daemons."""
    await asyncio.sleep(rest_s)
    loop = asyncio.get_running_loop()
    process = psutil.Process()
    cpu_before_s = _get_cpu_s(process)
    messages, size_bytes = counter.messages, counter.size_bytes
    started = loop.time()
    await asyncio.sleep(rest_s)
    spent_s = (loop.time() - started) * count
    messages_per_s = (counter.messages - messages) / spent_s
    bytes_per_s = (counter.size_bytes - size_bytes) / spent_s
    return RestReport(
        messages_per_s=messages_per_s,
        message_bytes_per_s=bytes_per_s,
        wire_bytes_per_s=_add_headers(messages_per_s, bytes_per_s),
        core_ratio=(_get_cpu_s(process) - cpu_before_s) / spent_s,
        descriptors=process.num_fds() / count,
    )


async def measure_part(count: int, indexes: range, rest_s: float) -> RestReport:
    """Measures some of the daemons of one size, the rest being elsewhere."""
    counter = ByteCounter()
    async with run_nodes(indexes, counter) as nodes:
        await _wait_until_joined(nodes, count)
        return await _measure_rest(len(nodes), counter, rest_s)


async def _run_parts(count: int, parts: int, rest_s: float) -> list[str]:
    started = [
        await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "kumquatridge.benchmarks.fleet",
            str(count),
            f"--rest={rest_s}",
            f"--parts={parts}",
            f"--part={part}",
            stdout=asyncio.subprocess.PIPE,
        )
        for part in range(parts)
    ]
    outputs = [await process.communicate() for process in started]
    return [output.decode().strip() for output, _ in outputs]


async def _spread_change(nodes: list[Node], number: int) -> float:
    """Returns how long a change took to reach all, then rests a second."""
    loop = asyncio.get_running_loop()
    key = f"/team/service-{number}"
    source = nodes[number % len(nodes)]
    version = source.entries.get_versions()[key] + 1
    source.entries.merge((Entry(key, version, "y" * ENTRY_BYTES),))
    source.plane.gossip.announce_now()
    started = loop.time()
    await _wait_for(
        lambda: all(
            node.entries.get_versions()[key] == version for node in nodes
        ),
        CHANGE_TIMEOUT_S,
    )
    spent_s = loop.time() - started
    await asyncio.sleep(1.0)
    return spent_s


def _add_headers(messages_per_s: float, size_bytes_per_s: float) -> float:
    exchanges_per_s = messages_per_s / 2
    headers_bytes = SEGMENT_BYTES * SEGMENTS_PER_EXCHANGE
    return (
        size_bytes_per_s
        + exchanges_per_s * headers_bytes
        + messages_per_s * ENVELOPE_BYTES
    )


def _get_cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


async def _wait_for(condition: Callable[[], bool], timeout_s: float) -> None:
    async with asyncio.timeout(timeout_s):
        while True:
            if condition():
                return
            await asyncio.sleep(POLL_S)


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessReport:
    """What whole daemons as processes of their own spend at rest."""

    processes: int
    resident_mb: float
    threads: int
    core_ratio: float


async def measure_processes(count: int, rest_s: float) -> ProcessReport:
    """Measures daemons that know each other and get no calls."""
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        tree_file = folder / "tree.jsonc"
        tree_file.write_text(TREE)
        first = loopback.make_daemon_settings(
            "instance-0", tree_file, drain_ms=DRAIN_MS
        )
        seeds = (first.control_address,)
        all_settings = [first]
        for index in range(1, count):
            name = f"instance-{index}"
            all_settings.append(
                loopback.make_daemon_settings(
                    name, tree_file, *seeds, drain_ms=DRAIN_MS
                )
            )
        found = [
            await stack.enter_async_context(
                processes.run_daemon(settings, folder)
            )
            for settings in all_settings
        ]
        await asyncio.sleep(rest_s)
        before_s = sum(_get_cpu_s(one) for one in found)
        await asyncio.sleep(rest_s)
        spent_s = sum(_get_cpu_s(one) for one in found) - before_s
        return ProcessReport(
            processes=count,
            resident_mb=max(one.memory_info().rss for one in found) / 1e6,
            threads=max(one.num_threads() for one in found),
            core_ratio=spent_s / count / rest_s,
        )


@click.command()
@click.argument("sizes", nargs=-1, type=int, metavar="DAEMONS...")
@click.option("--rest", "rest_s", default=20.0, help="Seconds of each phase.")
@click.option("--changes", default=10, help="Changes to spread at each size.")
@click.option("--processes", "process_count", default=0)
@click.option("--parts", default=1, help="Processes that share a size.")
@click.option("--part", default=-1, hidden=True)
def main(
    *,
    sizes: tuple[int, ...],
    rest_s: float,
    changes: int,
    process_count: int,
    parts: int,
    part: int,
) -> None:
    """Measures control traffic and processor time by the number of daemons."""
    for count in sizes:
        if part >= 0:
            indexes = range(part, count, parts)
            share = asyncio.run(measure_part(count, indexes, rest_s))
            click.echo(json.dumps(dataclasses.asdict(share)))
        elif parts > 1:
            for line in asyncio.run(_run_parts(count, parts, rest_s)):
                click.echo(f"{count} daemons, one part of {parts}: {line}")
        else:
            report = asyncio.run(measure_size(count, rest_s, changes))
            click.echo(json.dumps(dataclasses.asdict(report)))
    if process_count:
        whole = asyncio.run(measure_processes(process_count, rest_s))
        click.echo(json.dumps(dataclasses.asdict(whole)))


if __name__ == "__main__":
    main()
