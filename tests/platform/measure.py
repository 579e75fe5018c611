"""Measures daemons on the platform: start, memory, and what a hop costs.

    python -m tests.platform.measure [--calls N] [--callers N]

Two daemons run as processes of their own, with the stand-ins' store and two
workers. A call with one hop goes to the worker beside its daemon, one with two
to the other machine's. Latency is added to a worker that is asked directly.
"""

import asyncio
from collections.abc import Awaitable, Callable
import contextlib
import dataclasses
import functools
import pathlib
import tempfile

import click
import psutil

from kumquatridge.benchmarks import hops
from kumquatridge.benchmarks import processes
from kumquatridge.platform import settings_file
from kumquatridge.standins import platform as platform_standin
from kumquatridge.transport import messages as http
from kumquatridge.transport import pool
from tests.platform import site as sites

PROGRAM = "kumquatridge.platform.main"
BYTES_PER_MB = 1024 * 1024
WORK_MS = 5.0
START_TIMEOUT_S = 20.0
ROUTES = (
    sites.make_route("/near/", ("near", 1)),
    sites.make_route("/far/", ("far", 1)),
)
SETTINGS = """
[localNode]
nodeName = "{instance}"
ip = "127.0.0.1"
zone = "{data_centre}"
region = "{region}"
upstream = "{worker_address}"
service = "{service}"
[network]
internalPorts = [{control_port}, {control_port}]
[network.listenAddrs]
inbound = "{call_address}"
outbound = "{caller_address}"
readiness = "{readiness_address}"
admin = "{announcement_address}"
[network.zones]
north = "land"
south = "land"
[platform.platform]
address = "{store_address}"
"""


@dataclasses.dataclass(frozen=True)
class Load:
    """How many calls are sent, by how many callers at a time."""

    calls: int
    callers: int


@dataclasses.dataclass(frozen=True)
class Figures:
    """What a way to a worker costs; times are for one call."""

    name: str
    processor_us: float
    added_p50_ms: float
    added_p99_ms: float


def write_settings(
    settings: settings_file.SiteSettings, folder: pathlib.Path
) -> pathlib.Path:
    """Writes the settings file as the platform does."""
    values = {
        field.name: getattr(settings, field.name)
        for field in dataclasses.fields(settings)
    }
    port = settings.control_address.rpartition(":")[2]
    file = folder / f"{settings.instance}.toml"
    file.write_text(SETTINGS.format(control_port=port, **values))
    return file


def run_daemon(
    settings: settings_file.SiteSettings, folder: pathlib.Path
) -> contextlib.AbstractAsyncContextManager[psutil.Process]:
    """Runs a daemon until the context is left."""
    return processes.run_module(
        PROGRAM,
        "--settings",
        str(write_settings(settings, folder)),
        "--metrics-port",
        settings.metrics_address.rpartition(":")[2],
        address=settings.readiness_address,
    )


def get_processor_s(daemons: list[psutil.Process]) -> float:
    """Returns the processor time that daemons have spent."""
    return sum(processes.get_cpu_s(one) for one in daemons)


class Callers:
    """Sends calls and measures how long they take."""

    def __init__(self, load: Load) -> None:
        self._load = load
        self._connections = pool.ConnectionPool()
        self._sent = 0

    async def run(self, address: str, request: http.Request) -> list[float]:
        """Sends a request again and again; returns the sorted latencies."""
        found: list[float] = []
        numbers = iter(range(self._load.calls))

        async def keep_calling() -> None:
            loop = asyncio.get_running_loop()
            for _ in numbers:
                started_s = loop.time()
                await self._call(address, request)
                found.append((loop.time() - started_s) * 1000.0)

        async with asyncio.TaskGroup() as group:
            for _ in range(self._load.callers):
                group.create_task(keep_calling())
        return sorted(found)

    async def _call(self, address: str, request: http.Request) -> None:
        self._sent += 1
        marked = dataclasses.replace(
            request,
            headers=(*request.headers, ("Request-Id", f"id-{self._sent}")),
        )
        async with self._connections.send(address, marked) as answer:
            if answer.status != 200:
                raise RuntimeError(f"{request.target}: {answer.status}")


async def measure(
    name: str,
    address: str,
    direct_ms: list[float],
    load: Load,
    daemons: list[psutil.Process],
) -> Figures:
    """Measures the calls on the route of a name."""
    request = http.Request(
        "GET",
        f"/{name}/x",
        (("Host", sites.HOST), ("Deadline-Ms", "2000")),
        sites.make_request("/").body,
    )
    callers = Callers(load)
    await callers.run(address, request)
    started_s = get_processor_s(daemons)
    found_ms = await callers.run(address, request)
    spent_s = get_processor_s(daemons) - started_s
    return Figures(
        name,
        spent_s / load.calls * 1e6,
        hops.get_percentile(found_ms, 50) - hops.get_percentile(direct_ms, 50),
        hops.get_percentile(found_ms, 99) - hops.get_percentile(direct_ms, 99),
    )


async def measure_direct(worker: sites.Worker, load: Load) -> list[float]:
    """Returns the latencies of a worker that is asked directly."""
    request = http.Request(
        "GET",
        "/x",
        (("Host", sites.HOST), ("Expected-Instance", worker.name)),
        sites.make_request("/").body,
    )
    callers = Callers(load)
    await callers.run(worker.address, request)
    return await callers.run(worker.address, request)


async def measure_all(load: Load, folder: pathlib.Path) -> None:
    """Starts everything, measures and prints."""
    near = sites.Worker("worker-near", "near", 100)
    far = sites.Worker("worker-far", "far", 100)
    site = sites.Site([near, far], 6000.0)
    await site.publish(*ROUTES)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(
            platform_standin.PlatformServer(site.store_address, site.store)
        )
        await stack.enter_async_context(site.callers)
        daemons: list[psutil.Process] = []
        for worker, settings in zip(site.workers, site.settings, strict=True):
            worker.behaviour = sites.Behaviour(work_ms=WORK_MS)
            await worker.revive()
            stack.push_async_callback(worker.stop)
            daemons.append(
                await stack.enter_async_context(run_daemon(settings, folder))
            )
        await wait_until_ready(site, len(daemons))
        for number, daemon in enumerate(daemons):
            click.echo(
                f"start of daemon {number}: "
                f"{get_processor_s([daemon]):.2f} s of processor time"
            )
        await wait_until_served(site)
        direct_ms = await measure_direct(near, load)
        address = site.settings[0].caller_address
        for name in ("near", "far"):
            figures = await measure(name, address, direct_ms, load, daemons)
            click.echo(
                f"{figures.name}: {figures.processor_us:.0f} us a call, added "
                f"p50 {figures.added_p50_ms:.2f} ms, "
                f"p99 {figures.added_p99_ms:.2f} ms"
            )
        for number, daemon in enumerate(daemons):
            resident_mb = daemon.memory_info().rss / BYTES_PER_MB
            click.echo(f"memory of daemon {number}: {resident_mb:.0f} MB")


async def wait_until_ready(site: sites.Site, count: int) -> None:
    """Waits until all daemons say that they are ready."""
    for number in range(count):
        await wait_for_status(functools.partial(site.ask_ready, number))


async def wait_until_served(site: sites.Site) -> None:
    """Waits until both workers are known to the first daemon."""
    for name in ("near", "far"):
        request = sites.make_request(f"/{name}/x")
        await wait_for_status(functools.partial(ask, site, request))


async def ask(site: sites.Site, request: http.Request) -> int:
    """Returns the status that the first daemon answers with."""
    return (await site.send(request)).status


async def wait_for_status(get_status: Callable[[], Awaitable[int]]) -> None:
    """Waits until a status is 200."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            if await get_status() == 200:
                return
            await asyncio.sleep(sites.POLL_S)


@click.command()
@click.option("--calls", default=4000, show_default=True)
@click.option("--callers", default=4, show_default=True)
def main(calls: int, callers: int) -> None:
    """Measures daemons on the platform."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure_all(Load(calls, callers), pathlib.Path(folder)))


if __name__ == "__main__":
    main()
