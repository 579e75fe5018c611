"""Measures start-up time, memory and per-hop cost of the platform's daemons.

    python -m tests.platform.measure [--calls N] [--callers N]

Two daemons run as separate processes, with a stand-in of the store and two
workers. A call to "near" takes one hop, to the daemon's local worker; one to
"far" takes two, to the worker of the other daemon. The added latency is the
difference from direct calls to a worker.
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
from tests.platform import deployment as deployments

PROGRAM = "kumquatridge.platform.main"
BYTES_PER_MB = 1024 * 1024
# Time that a worker spends on each request.
WORK_MS = 5.0
START_TIMEOUT_S = 20.0
ROUTES = (
    deployments.make_route("/near/", ("near", 1)),
    deployments.make_route("/far/", ("far", 1)),
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
class LoadSettings:
    """Number of calls, and of callers that send them concurrently."""

    calls: int
    callers: int


@dataclasses.dataclass(frozen=True)
class HopCost:
    """Cost of a path to a worker.

    `processor_us` is the processor time of all daemons per call. The added
    times are differences from the percentiles of direct calls.
    """

    name: str
    processor_us: float
    added_p50_ms: float
    added_p99_ms: float


def write_settings(
    settings: settings_file.PlatformSettings, folder: pathlib.Path
) -> pathlib.Path:
    """Writes settings in the form of the platform's file."""
    values = {
        field.name: getattr(settings, field.name)
        for field in dataclasses.fields(settings)
    }
    port = settings.control_address.rpartition(":")[2]
    file = folder / f"{settings.instance}.toml"
    file.write_text(SETTINGS.format(control_port=port, **values))
    return file


def run_daemon(
    settings: settings_file.PlatformSettings, folder: pathlib.Path
) -> contextlib.AbstractAsyncContextManager[psutil.Process]:
    """Runs a daemon process while the context is open."""
    return processes.run_module(
        PROGRAM,
        "--settings",
        str(write_settings(settings, folder)),
        "--metrics-port",
        settings.metrics_address.rpartition(":")[2],
        address=settings.readiness_address,
    )


def get_processor_s(daemons: list[psutil.Process]) -> float:
    """Returns the total processor time of daemons."""
    return sum(processes.get_cpu_s(daemon) for daemon in daemons)


class Callers:
    """Sends calls concurrently and measures their latency."""

    def __init__(self, load: LoadSettings) -> None:
        self._load = load
        self._connections = pool.ConnectionPool()
        self._sent = 0

    async def run(self, address: str, request: http.Request) -> list[float]:
        """Sends a request `calls` times; returns the sorted latencies."""
        latencies_ms: list[float] = []
        numbers = iter(range(self._load.calls))

        async def keep_calling() -> None:
            loop = asyncio.get_running_loop()
            for _ in numbers:
                started_s = loop.time()
                await self._call(address, request)
                latencies_ms.append((loop.time() - started_s) * 1000.0)

        async with asyncio.TaskGroup() as group:
            for _ in range(self._load.callers):
                group.create_task(keep_calling())
        return sorted(latencies_ms)

    async def _call(self, address: str, request: http.Request) -> None:
        self._sent += 1
        numbered_request = dataclasses.replace(
            request,
            headers=(*request.headers, ("Request-Id", f"id-{self._sent}")),
        )
        async with self._connections.send(address, numbered_request) as answer:
            if answer.status != 200:
                raise RuntimeError(
                    f"{request.target}: got status {answer.status},"
                    " expected 200"
                )


async def measure(
    name: str,
    address: str,
    direct_ms: list[float],
    load: LoadSettings,
    daemons: list[psutil.Process],
) -> HopCost:
    """Measures calls on a route, after as many calls for warm-up.

    `name` is that of the route and `direct_ms` has the sorted latencies of
    direct calls to a worker. The processor time is that of all daemons.
    """
    request = http.Request(
        "GET",
        f"/{name}/x",
        (("Host", deployments.HOST), ("Deadline-Ms", "2000")),
        deployments.make_request("/").body,
    )
    callers = Callers(load)
    await callers.run(address, request)
    used_before_s = get_processor_s(daemons)
    latencies_ms = await callers.run(address, request)
    used_s = get_processor_s(daemons) - used_before_s
    return HopCost(
        name,
        used_s / load.calls * 1e6,
        hops.get_percentile(latencies_ms, 50)
        - hops.get_percentile(direct_ms, 50),
        hops.get_percentile(latencies_ms, 99)
        - hops.get_percentile(direct_ms, 99),
    )


async def measure_direct(
    worker: deployments.Worker, load: LoadSettings
) -> list[float]:
    """Returns the sorted latencies of direct calls to a worker."""
    request = http.Request(
        "GET",
        "/x",
        (("Host", deployments.HOST), ("Expected-Instance", worker.name)),
        deployments.make_request("/").body,
    )
    callers = Callers(load)
    await callers.run(worker.address, request)
    return await callers.run(worker.address, request)


async def measure_all(load: LoadSettings, folder: pathlib.Path) -> None:
    """Runs the deployment, measures it and prints the results."""
    # With 100 slots, no call of the callers waits for one.
    local_worker = deployments.Worker("worker-near", "near", 100)
    remote_worker = deployments.Worker("worker-far", "far", 100)
    # The grace period in ms; no daemon is drained here.
    deployment = deployments.Deployment([local_worker, remote_worker], 6000.0)
    await deployment.publish(*ROUTES)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(
            platform_standin.PlatformServer(
                deployment.store_address, deployment.store
            )
        )
        await stack.enter_async_context(deployment.callers)
        daemons: list[psutil.Process] = []
        for worker, settings in zip(
            deployment.workers, deployment.settings, strict=True
        ):
            worker.behaviour = deployments.Behaviour(work_ms=WORK_MS)
            await worker.start()
            stack.push_async_callback(worker.stop)
            daemons.append(
                await stack.enter_async_context(run_daemon(settings, folder))
            )
        await wait_until_ready(deployment, len(daemons))
        for number, daemon in enumerate(daemons):
            click.echo(
                f"start of daemon {number}: "
                f"{get_processor_s([daemon]):.2f} s of processor time"
            )
        await wait_until_workers_answer(deployment)
        direct_ms = await measure_direct(local_worker, load)
        address = deployment.settings[0].caller_address
        for name in ("near", "far"):
            cost = await measure(name, address, direct_ms, load, daemons)
            click.echo(
                f"{cost.name}: {cost.processor_us:.0f} us a call, added "
                f"p50 {cost.added_p50_ms:.2f} ms, "
                f"p99 {cost.added_p99_ms:.2f} ms"
            )
        for number, daemon in enumerate(daemons):
            resident_mb = daemon.memory_info().rss / BYTES_PER_MB
            click.echo(f"memory of daemon {number}: {resident_mb:.0f} MB")


async def wait_until_ready(
    deployment: deployments.Deployment, count: int
) -> None:
    """Waits until all daemons are ready."""
    for number in range(count):
        await wait_for_status(
            functools.partial(deployment.get_readiness_status, number)
        )


async def wait_until_workers_answer(deployment: deployments.Deployment) -> None:
    """Waits until the first daemon reaches both workers."""
    for name in ("near", "far"):
        request = deployments.make_request(f"/{name}/x")
        await wait_for_status(
            functools.partial(get_answer_status, deployment, request)
        )


async def get_answer_status(
    deployment: deployments.Deployment, request: http.Request
) -> int:
    """Returns the status of the first daemon's answer."""
    return (await deployment.send(request)).status


async def wait_for_status(get_status: Callable[[], Awaitable[int]]) -> None:
    """Polls until a status is 200; fails after START_TIMEOUT_S."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            if await get_status() == 200:
                return
            await asyncio.sleep(deployments.POLL_S)


@click.command()
@click.option("--calls", default=4000, show_default=True)
@click.option("--callers", default=4, show_default=True)
def main(calls: int, callers: int) -> None:
    """Measures start, memory and cost of a hop of daemons."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(
            measure_all(LoadSettings(calls, callers), pathlib.Path(folder))
        )


if __name__ == "__main__":
    main()
