"""Measures the overhead of a hop: of bare hops and of daemons.

    python -m kumquatridge.benchmarks.hops [--rounds N]

A hop is a proxy between caller and worker. Processor time per call is that of
the hops' processes during closed-loop calls. Added latency is measured in many
short open-loop rounds at the call rate that the product is designed for,
alternately direct and through the hop. Reported is the median over the rounds
of the paired difference, at p50 and p99.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import pathlib
import statistics
import tempfile

import aiohttp
import click
import psutil
import uvloop

from kumquatridge.benchmarks import bare_hops
from kumquatridge.benchmarks import processes
from kumquatridge.membership import member as members
from kumquatridge.standins import announcer
from kumquatridge.standins import loopback

SERVICE = "bench"
SLOTS = 1000
# A stopping daemon accepts calls for this time (see `DaemonSettings.drain_ms`);
# short, as no calls arrive by then.
DRAIN_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class LoadSettings:
    """Rate, rounds and bursts of the measurement."""

    rate_per_s: float
    round_s: float
    rounds: int
    burst_calls: int
    burst_concurrency: int


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A URL to send calls to, and the processes of the hops behind it."""

    name: str
    url: str
    hops: tuple[psutil.Process, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """Overhead per call of one target; memory is that of the largest hop."""

    name: str
    cpu_us: float
    added_p50_ms: float
    added_p99_ms: float
    resident_mb: float


async def call_once(session: aiohttp.ClientSession, url: str) -> None:
    """Sends one call.

    Raises:
      RuntimeError: the answer is not a 200 with a body.
    """
    async with session.post(url, data=b"hi") as answer:
        body = await answer.read()
        if answer.status != 200 or not body:
            raise RuntimeError(
                f"call to {url}: expected status 200 and a body, got status "
                f"{answer.status} and {len(body)} bytes"
            )


def get_cpu_s(target: Target) -> float:
    """Returns the processor time of all hops of a target."""
    times = [hop.cpu_times() for hop in target.hops]
    return float(sum(one.user + one.system for one in times))


async def measure_cpu_us(
    session: aiohttp.ClientSession, target: Target, load: LoadSettings
) -> float:
    """Returns the hops' processor time per call in a closed-loop burst."""
    numbers = iter(range(load.burst_calls))

    async def keep_calling() -> None:
        for _ in numbers:
            await call_once(session, target.url)

    started_s = get_cpu_s(target)
    async with asyncio.TaskGroup() as group:
        for _ in range(load.burst_concurrency):
            group.create_task(keep_calling())
    return (get_cpu_s(target) - started_s) / load.burst_calls * 1e6


async def measure_round_ms(
    session: aiohttp.ClientSession, url: str, load: LoadSettings
) -> list[float]:
    """Returns the sorted latencies of one open-loop round.

    A call's latency counts from when it was due, not from when it was sent.
    """
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    latencies_ms: list[float] = []

    async def call_at(due_s: float) -> None:
        await asyncio.sleep(due_s - loop.time())
        await call_once(session, url)
        latencies_ms.append((loop.time() - due_s) * 1000.0)

    async with asyncio.TaskGroup() as group:
        for number in range(int(load.rate_per_s * load.round_s)):
            group.create_task(call_at(started_s + number / load.rate_per_s))
    return sorted(latencies_ms)


def get_percentile(ordered: list[float], percent: int) -> float:
    """Returns a percentile of an ordered list."""
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]


async def measure(
    direct_url: str, target: Target, load: LoadSettings
) -> Figures:
    """Measures the overhead of a target compared with direct calls."""
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0)
    ) as session:
        await measure_cpu_us(session, target, load)
        cpu_us = await measure_cpu_us(session, target, load)
        added_p50_ms: list[float] = []
        added_p99_ms: list[float] = []
        for _ in range(load.rounds):
            direct = await measure_round_ms(session, direct_url, load)
            via_hop = await measure_round_ms(session, target.url, load)
            for added, percent in ((added_p50_ms, 50), (added_p99_ms, 99)):
                added.append(
                    get_percentile(via_hop, percent)
                    - get_percentile(direct, percent)
                )
    resident_bytes = max(hop.memory_info().rss for hop in target.hops)
    return Figures(
        target.name,
        cpu_us,
        statistics.median(added_p50_ms),
        statistics.median(added_p99_ms),
        resident_bytes / 1e6,
    )


@contextlib.asynccontextmanager
async def run_bare(kind: str, worker_address: str) -> AsyncIterator[Target]:
    """Runs one bare hop in front of the worker."""
    address = loopback.get_free_address()
    async with processes.run_module(
        "kumquatridge.benchmarks.bare_hops",
        kind,
        address,
        worker_address,
        address=address,
    ) as hop:
        yield Target(kind, f"http://{address}/", (hop,))


@contextlib.asynccontextmanager
async def run_daemons(
    count: int, worker_address: str, folder: pathlib.Path
) -> AsyncIterator[Target]:
    """Runs daemons in a chain; the worker is announced at the last one."""
    tree_file = processes.write_tree(folder)
    async with contextlib.AsyncExitStack() as stack:
        started = []
        seeds: tuple[str, ...] = ()
        hops = []
        for number in range(count):
            settings = loopback.make_daemon_settings(
                f"daemon-{count}-{number}",
                tree_file,
                *seeds,
                drain_ms=DRAIN_MS,
            )
            seeds = (settings.control_address,)
            started.append(settings)
            hops.append(
                await stack.enter_async_context(
                    processes.run_daemon(settings, folder)
                )
            )
        announcement = members.Announcement(
            SERVICE, worker_address, SLOTS, SLOTS
        )
        await stack.enter_async_context(
            announcer.Announcer(started[-1].operator_address, announcement)
        )
        await processes.wait_for_service(started[0], SERVICE)
        yield Target(
            f"daemons: {count}",
            f"http://{started[0].caller_address}/{SERVICE}/",
            tuple(hops),
        )


async def measure_all(
    load: LoadSettings, kinds: tuple[str, ...]
) -> list[Figures]:
    """Measures bare hops of the given kinds and daemons in turn."""
    worker_address = loopback.get_free_address()
    direct_url = f"http://{worker_address}/"
    figures = []
    with tempfile.TemporaryDirectory() as name:
        async with processes.run_module(
            "kumquatridge.standins.worker",
            worker_address,
            address=worker_address,
        ):
            for kind in kinds:
                async with run_bare(kind, worker_address) as target:
                    figures.append(await measure(direct_url, target, load))
            for count in (1, 2):
                async with run_daemons(
                    count, worker_address, pathlib.Path(name)
                ) as target:
                    figures.append(await measure(direct_url, target, load))
    return figures


def render(figures: list[Figures]) -> str:
    """Returns the figures as a Markdown table."""
    rows = [
        "| hop | processor time a call, us | added p50, ms | added p99, ms "
        "| resident, MB |",
        "|---|---|---|---|---|",
    ]
    for one in figures:
        rows.append(
            f"| {one.name} | {one.cpu_us:.0f} | {one.added_p50_ms:.2f} "
            f"| {one.added_p99_ms:.2f} | {one.resident_mb:.0f} |"
        )
    return "\n".join(rows) + "\n"


@click.command()
@click.option("--rate-per-s", default=230.0, show_default=True)
@click.option("--round-s", default=1.0, show_default=True)
@click.option("--rounds", default=15, show_default=True)
@click.option("--burst-calls", default=5000, show_default=True)
@click.option("--burst-concurrency", default=20, show_default=True)
@click.option(
    "--kind",
    "kinds",
    multiple=True,
    type=click.Choice(bare_hops.KINDS),
    default=bare_hops.KINDS,
    help="A bare hop to measure beside the daemons; may be given again.",
)
def main(
    *,
    rate_per_s: float,
    round_s: float,
    rounds: int,
    burst_calls: int,
    burst_concurrency: int,
    kinds: tuple[str, ...],
) -> None:
    """Measures the overhead of each hop and prints a table."""
    load = LoadSettings(
        rate_per_s, round_s, rounds, burst_calls, burst_concurrency
    )
    click.echo(render(uvloop.run(measure_all(load, kinds))), nl=False)


if __name__ == "__main__":
    main()
