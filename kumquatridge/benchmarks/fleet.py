"""Measures the control traffic and processor time of a daemon by fleet size.

Runs control planes as tasks of one process over loopback, and a few daemons
as separate processes to measure their memory. Prints one line for each size.
With `--parts`, the daemons of a size are divided among that many processes,
so that each stays within its limit of open files; changes are not measured
then.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import json
import statistics
import sys

import click
import psutil

from kumquatridge.benchmarks import control_network
from kumquatridge.benchmarks import control_planes
from kumquatridge.benchmarks import processes
from kumquatridge.benchmarks import resident
from kumquatridge.benchmarks import waits

SETTLE_TIMEOUT_S = 120.0
CHANGE_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.01


@dataclasses.dataclass(frozen=True, slots=True)
class RestReport:
    """Cost of one daemon while nothing changes.

    `wire_bytes_per_s` adds the headers of pynng, TCP, IP and Ethernet to the
    messages sent and received, with four segments for each exchange.
    `core_ratio` is the share of one processor core.
    """

    messages_per_s: float
    message_bytes_per_s: float
    wire_bytes_per_s: float
    core_ratio: float
    descriptors: float


@dataclasses.dataclass(frozen=True, slots=True)
class SizeReport:
    """Cost of one daemon at one size of the data centre.

    `change_bytes` is the bytes of messages per change, above those at rest.
    """

    daemons: int
    rest: RestReport
    join_s: float
    change_median_s: float
    change_max_s: float
    change_bytes: float


async def measure_size(count: int, rest_s: float, changes: int) -> SizeReport:
    """Measures one size at rest and while changes spread."""
    counter = control_planes.ByteCounter()
    loop = asyncio.get_running_loop()
    started = loop.time()
    async with control_planes.run_daemons(
        range(count), counter
    ) as running_daemons:
        await _wait_until_joined(running_daemons, count)
        joined = loop.time()
        rest = await _measure_rest(len(running_daemons), counter, rest_s)
        bytes_before_changes = counter.size_bytes
        times_s = [
            await _measure_change(running_daemons, number)
            for number in range(changes)
        ]
        # Each change is followed by a pause of 1 s.
        changes_s = sum(times_s) + changes
        rest_bytes = rest.message_bytes_per_s * count * changes_s
        extra_bytes = counter.size_bytes - bytes_before_changes - rest_bytes
    return SizeReport(
        daemons=count,
        rest=rest,
        join_s=joined - started,
        change_median_s=statistics.median(times_s),
        change_max_s=max(times_s),
        change_bytes=extra_bytes / changes / count,
    )


async def _wait_until_joined(
    running_daemons: list[control_planes.PartialDaemon], count: int
) -> None:
    await _wait_for(
        lambda: all(
            len(daemon.table.get_live()) == count - 1
            for daemon in running_daemons
        ),
        SETTLE_TIMEOUT_S,
    )


async def _measure_rest(
    count: int, counter: control_planes.ByteCounter, rest_s: float
) -> RestReport:
    """Waits `rest_s` for the join updates to subside, then measures."""
    await asyncio.sleep(rest_s)
    loop = asyncio.get_running_loop()
    process = psutil.Process()
    cpu_before_s = processes.get_cpu_s(process)
    messages, size_bytes = counter.messages, counter.size_bytes
    started = loop.time()
    await asyncio.sleep(rest_s)
    daemon_seconds = (loop.time() - started) * count
    messages_per_s = (counter.messages - messages) / daemon_seconds
    bytes_per_s = (counter.size_bytes - size_bytes) / daemon_seconds
    return RestReport(
        messages_per_s=messages_per_s,
        message_bytes_per_s=bytes_per_s,
        wire_bytes_per_s=control_network.add_headers(
            messages_per_s, bytes_per_s
        ),
        core_ratio=(processes.get_cpu_s(process) - cpu_before_s)
        / daemon_seconds,
        descriptors=process.num_fds() / count,
    )


async def measure_part(count: int, indexes: range, rest_s: float) -> RestReport:
    """Measures some daemons of one size; other processes run the others."""
    counter = control_planes.ByteCounter()
    async with control_planes.run_daemons(indexes, counter) as running_daemons:
        await _wait_until_joined(running_daemons, count)
        return await _measure_rest(len(running_daemons), counter, rest_s)


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


async def _measure_change(
    running_daemons: list[control_planes.PartialDaemon], number: int
) -> float:
    """Returns the seconds until a change reached all; then pauses 1 s."""
    loop = asyncio.get_running_loop()
    key = f"/team/service-{number}"
    source = running_daemons[number % len(running_daemons)]
    version = source.entries.get_versions()[key] + 1
    source.entries.merge(
        (control_planes.Entry(key, version, "y" * control_planes.ENTRY_BYTES),)
    )
    source.plane.gossip.notify_peers()
    started = loop.time()
    await _wait_for(
        lambda: all(
            daemon.entries.get_versions()[key] == version
            for daemon in running_daemons
        ),
        CHANGE_TIMEOUT_S,
    )
    spent_s = loop.time() - started
    await asyncio.sleep(1.0)
    return spent_s


async def _wait_for(condition: Callable[[], bool], timeout_s: float) -> None:
    async with asyncio.timeout(timeout_s):
        await waits.wait_until(condition, POLL_INTERVAL_S)


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
            part_report = asyncio.run(measure_part(count, indexes, rest_s))
            click.echo(json.dumps(dataclasses.asdict(part_report)))
        elif parts > 1:
            for line in asyncio.run(_run_parts(count, parts, rest_s)):
                click.echo(f"{count} daemons, one part of {parts}: {line}")
        else:
            report = asyncio.run(measure_size(count, rest_s, changes))
            click.echo(json.dumps(dataclasses.asdict(report)))
    if process_count:
        process_report = asyncio.run(
            resident.measure_processes(process_count, rest_s)
        )
        click.echo(json.dumps(dataclasses.asdict(process_report)))


if __name__ == "__main__":
    main()
