"""Two machines whose daemons run as processes with limits of their own."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import dataclasses
import json
import pathlib
import sys

import psutil

from kumquatridge.standins import platform as platform_standin
from kumquatridge.transport import errors as transport_errors
from kumquatridge.transport import http_listener
from kumquatridge.transport import messages as http
from tests.platform import deployment as deployments
from tests.platform import measure

HEARTBEAT_S = 0.5
START_TIMEOUT_S = 30.0
POLL_S = 0.1
KIB_BYTES = 1024
GRACE_MS = 2000.0
# Appended to the settings of a daemon; the other tables are as in `measure`.
LIMITS = """
[localNode.limits]
memoryMb = {memory_mb}
maxFds = {max_descriptors}
"""


@dataclasses.dataclass(frozen=True)
class MachineLimits:
    """Memory and descriptors that a daemon has by its settings."""

    memory_mb: int
    max_descriptors: int


@dataclasses.dataclass(frozen=True)
class Usage:
    """What a daemon has used: memory at its peak, descriptors now."""

    peak_bytes: int
    descriptors: int


def get_peak_bytes(pid: int) -> int:
    """Returns the most memory that a process had resident so far."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    (peak,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
    return int(peak.split()[1]) * KIB_BYTES


# How a worker handles a request for a target.
BehaviourChoice = Callable[[str], deployments.Behaviour]


class _Worker(deployments.Worker):
    """A stand-in worker whose behaviour depends on the target."""

    def __init__(
        self, name: str, service: str, slots: int, choose: BehaviourChoice
    ) -> None:
        super().__init__(name, service, slots)
        self._choose = choose

    async def handle(
        self, request: http.Request, responder: http_listener.Responder
    ) -> None:
        """Answers a health check or a request."""
        self.behaviour = self._choose(request.target)
        await super().handle(request, responder)


class Machines:
    """The daemons of two workers, and the callers that behave.

    The parameter `number` is the index of a machine.
    """

    def __init__(self, deployment: deployments.Deployment) -> None:
        self.deployment = deployment
        self.processes: list[asyncio.subprocess.Process] = []
        self._sequence = 0

    @property
    def addresses(self) -> list[dict[str, str]]:
        """The addresses of the listeners of each daemon, by kind."""
        return [
            {
                "callers": settings.caller_address,
                "daemons": settings.call_address,
                "control": settings.control_address,
                "readiness": settings.readiness_address,
                "reports": settings.announcement_address,
                "metrics": settings.metrics_address,
            }
            for settings in self.deployment.settings
        ]

    def is_running(self, number: int) -> bool:
        """Returns whether the first process of a machine still runs."""
        return self.processes[number].returncode is None

    def measure(self, number: int) -> Usage:
        """Returns the memory and descriptors of a daemon."""
        process = psutil.Process(self.processes[number].pid)
        return Usage(get_peak_bytes(process.pid), process.num_fds())

    async def report_regularly(self) -> None:
        """Reports both workers as ready, again and again."""
        while True:
            self._sequence += 1
            for number, _ in enumerate(self.processes):
                with contextlib.suppress(
                    transport_errors.TransportError, TimeoutError
                ):
                    async with asyncio.timeout(HEARTBEAT_S):
                        await self.deployment.report(
                            number, sequence=self._sequence
                        )
            await asyncio.sleep(HEARTBEAT_S)

    async def wait_until_serving(self) -> None:
        """Waits until each path answers through each daemon."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for number, _ in enumerate(self.processes):
                for path in ("/near/ready", "/far/ready"):
                    await self._wait_until_served(number, path)

    async def _wait_until_served(self, number: int, path: str) -> None:
        status = 0
        while status != 200:
            await asyncio.sleep(POLL_S)
            status = await self.send(number, path)

    async def send(self, number: int, path: str) -> int:
        """Sends an ordinary request; returns its status, 0 for none.

        Waits as long as the answer tells a refused caller to.
        """
        try:
            answer = await self.deployment.send(
                deployments.make_request(path, deadline_ms=5000), number
            )
        except transport_errors.TransportError:
            return 0
        retry_after_s = http.find_header(answer.headers, "retry-after")
        if retry_after_s is not None:
            await asyncio.sleep(float(retry_after_s))
        return answer.status


def _write_settings(
    deployment: deployments.Deployment,
    number: int,
    limits: MachineLimits,
    folder: pathlib.Path,
) -> pathlib.Path:
    file = measure.write_settings(deployment.settings[number], folder)
    values = dataclasses.asdict(limits)
    file.write_text(file.read_text() + LIMITS.format(**values))
    return file


async def _start(
    deployment: deployments.Deployment,
    number: int,
    limits: MachineLimits,
    folder: pathlib.Path,
) -> asyncio.subprocess.Process:
    file = _write_settings(deployment, number, limits, folder)
    port = deployment.settings[number].metrics_address.rpartition(":")[2]
    with file.with_suffix(".log").open("wb") as log:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            measure.PROGRAM,
            "--settings",
            str(file),
            "--metrics-port",
            port,
            stdout=log,
            stderr=log,
        )


async def _publish(
    deployment: deployments.Deployment, max_header_bytes: int
) -> None:
    """Publishes a route to each worker, and the limits of callers."""
    value = {
        "version": 1,
        "routes": [
            deployments.make_route(
                "/near/", ("near", 1), timeoutS=5.0, targetLatencyS=5.0
            ),
            deployments.make_route(
                "/far/", ("far", 1), timeoutS=5.0, targetLatencyS=5.0
            ),
        ],
        "services": [{"name": "near"}, {"name": "far"}],
        "limits": {"maxHeaderBytes": max_header_bytes},
    }
    api = deployment.store.connect()
    await api.put("config/main", json.dumps(value).encode(), 0)


@contextlib.asynccontextmanager
async def open_machines(
    limits: MachineLimits,
    choose: BehaviourChoice,
    folder: pathlib.Path,
    slots: int,
    max_header_bytes: int,
) -> AsyncIterator[Machines]:
    """Yields two machines that serve; ends all that it has started."""
    workers = [
        _Worker("machine-0", "near", slots, choose),
        _Worker("machine-1", "far", slots, choose),
    ]
    deployment = deployments.Deployment([*workers], GRACE_MS)
    machines = Machines(deployment)
    server = platform_standin.PlatformServer(
        deployment.store_address, deployment.store
    )
    await _publish(deployment, max_header_bytes)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(server)
        await stack.enter_async_context(deployment.callers)
        for number, worker in enumerate(workers):
            await worker.start()
            stack.push_async_callback(worker.stop)
            process = await _start(deployment, number, limits, folder)
            stack.push_async_callback(_end, process)
            machines.processes.append(process)
        reports = asyncio.create_task(machines.report_regularly())
        stack.callback(reports.cancel)
        await machines.wait_until_serving()
        yield machines


async def _end(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()
