"""A small deployment of the platform in one process, for tests.

Workers are stand-ins on loopback, configured by `Behaviour`; callers send
requests to the caller address of a daemon.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import dataclasses
import json

from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.platform import runtime
from kumquatridge.platform import settings_file
from kumquatridge.standins import platform as platform_standin
from kumquatridge.standins import platform_store
from kumquatridge.transport import http_listener
from kumquatridge.transport import messages as http
from kumquatridge.transport import pool
from tests import processes

HOST = "shop.example"
# Data centres; daemons are assigned to them in turn.
ZONES = ("north", "south")
ENDLESS_CHUNK = bytes(64 * 1024)
# Pause between two checks of an awaited condition.
POLL_S = 0.02


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """How a stand-in worker handles requests.

    `work_ms` is the time spent on a request, `status` the status of the answer
    and `body_bytes` the least length of its body. With `is_endless` the body of
    the answer never ends. `not_run` marks answers as not executed, `drops`
    closes the connection instead of answering, `crashes` stops the worker on a
    path that ends in "/poison", and `calls` are the paths of its nested calls.
    """

    work_ms: float = 1.0
    status: int = 200
    body_bytes: int = 0
    is_endless: bool = False
    not_run: bool = False
    drops: bool = False
    crashes: bool = False
    calls: tuple[str, ...] = ()


class Worker:
    """A stand-in worker that records the requests it receives.

    `running` is the number of requests in progress, `max_running` its maximum
    so far and `cancelled` the number of cancelled requests. `caller_address` is
    that of the worker's daemon, to which it sends nested calls.
    """

    def __init__(self, name: str, service: str, slots: int = 8) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.address = processes.get_free_address()
        self.behaviour = Behaviour()
        self.received: list[http.Request] = []
        self.running = 0
        self.max_running = 0
        self.cancelled = 0
        self.is_healthy = True
        # Bytes of endless bodies sent so far.
        self.endless_bytes = 0
        self.caller_address = ""
        self._listener: http_listener.HttpListener | None = None
        self._connections = pool.ConnectionPool()

    def get_header(self, name: str, index: int = -1) -> str | None:
        """Returns a header of a received request, the last one by default."""
        return http.find_header(self.received[index].headers, name)

    async def start(self) -> None:
        """Listens, unless it already does."""
        if self._listener is None:
            self._listener = http_listener.HttpListener(
                self.address, self.handle
            )
            await self._listener.__aenter__()

    async def stop(self) -> None:
        """Closes listener and connections, as a crash does."""
        stopped, self._listener = self._listener, None
        if stopped is not None:
            await stopped.__aexit__(None, None, None)

    async def handle(
        self, request: http.Request, responder: http_listener.Responder
    ) -> None:
        """Answers a health check or a request as `behaviour` says."""
        if request.target == "/healthz":
            status = 200 if self.is_healthy else 503
            headers = (
                ("Instance-Id", self.name),
                # Running, waiting, slots, and the service time in percent of
                # the usual one.
                ("Server-Load", f"{self.running},0,{self.slots},100"),
            )
            await responder.send(http.Answer(status, headers, call_body.EMPTY))
            return
        if request.target == "/":
            await responder.send(http.Answer(400, (), call_body.EMPTY))
            return
        self.received.append(request)
        expected = http.find_header(request.headers, "expected-instance")
        if expected != self.name:
            # The request is meant for another worker.
            request_id = http.find_header(request.headers, "request-id") or ""
            echo = (("Request-Id", request_id),)
            await responder.send(http.Answer(421, echo, call_body.EMPTY))
            return
        await self._run(request, responder)

    async def _run(
        self, request: http.Request, responder: http_listener.Responder
    ) -> None:
        behaviour = self.behaviour
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        try:
            await asyncio.sleep(behaviour.work_ms / 1000.0)
            status = behaviour.status
            for number, path in enumerate(behaviour.calls):
                if await self._call(request, path, number) != 200:
                    status = 500
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1
        if behaviour.crashes and request.target.endswith("/poison"):
            await self.stop()
            return
        if behaviour.drops:
            responder.abort()
            return
        request_id = http.find_header(request.headers, "request-id") or ""
        headers: outcomes.Headers = (
            ("Request-Id", request_id),
            ("Server-Signature", f"{self.name}/{request_id}"),
        )
        if behaviour.not_run:
            headers = (("Request-Id", request_id), ("Not-Executed", "1"))
        data = f"{self.name}{request.target}".encode()
        body: call_body.Body = call_body.BufferedBody(
            data.ljust(behaviour.body_bytes, b".")
        )
        if behaviour.is_endless:
            body = call_body.StreamedBody(
                None, call_body.SinglePassStream(self._send_without_end())
            )
        await responder.send(http.Answer(status, headers, body))

    async def _send_without_end(self) -> AsyncIterator[bytes]:
        while True:
            self.endless_bytes += len(ENDLESS_CHUNK)
            yield ENDLESS_CHUNK
            await asyncio.sleep(0)

    async def _call(self, request: http.Request, path: str, number: int) -> int:
        parent = http.find_header(request.headers, "request-id")
        nested_request = make_request(path, request_id=f"{parent}.{number}")
        async with self._connections.send(
            self.caller_address, nested_request
        ) as answer:
            return answer.status


def make_request(
    target: str,
    *,
    method: str = "GET",
    request_id: str = "id-1",
    deadline_ms: int = 2000,
    body: call_body.Body = call_body.EMPTY,
    extra_headers: outcomes.Headers = (),
) -> http.Request:
    """Returns a request as a caller sends it.

    `deadline_ms` is the time that the caller waits, not a point in time.
    """
    headers = (
        ("Host", HOST),
        ("Request-Id", request_id),
        ("Deadline-Ms", str(deadline_ms)),
        *extra_headers,
    )
    return http.Request(method, target, headers, body)


def make_route(
    prefix: str, *services: tuple[str, float], **fields: object
) -> dict[str, object]:
    """Returns a route in the form of the platform's configuration."""
    route: dict[str, object] = {
        "name": prefix.strip("/") or "root",
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": "idempotent",
        "timeoutS": 1.0,
        "targetLatencyS": 0.5,
        "priority": 1,
        "maxAttempts": 2,
    }
    if len(services) == 1:
        route["service"] = services[0][0]
    else:
        route["weightedClusters"] = [
            {"service": name, "weight": weight} for name, weight in services
        ]
    return route | fields


class Deployment:
    """The store, the daemons and their workers; see `open_deployment`.

    The parameter `number` is the index of a worker in `workers`, and of its
    daemon's settings in `settings`. `daemons` has the running daemons in the
    order in which they were started.
    """

    def __init__(self, workers: list[Worker], grace_ms: float) -> None:
        self.workers = workers
        self._grace_ms = grace_ms
        self.store = platform_store.PlatformStore()
        self.store_address = processes.get_free_address()
        self.daemons: list[runtime.PlatformDaemon] = []
        self.settings = [self._make_settings(worker) for worker in workers]
        self.callers = pool.ConnectionPool()
        self._stack = contextlib.AsyncExitStack()
        self._configuration_version = 0
        self._daemon_stacks: dict[int, contextlib.AsyncExitStack] = {}

    def _make_settings(self, worker: Worker) -> settings_file.PlatformSettings:
        number = self.workers.index(worker)
        return settings_file.PlatformSettings(
            instance=f"machine-{number}",
            data_centre=ZONES[number % len(ZONES)],
            region="land",
            data_centres=frozenset(ZONES),
            service=worker.service,
            worker_address=worker.address,
            caller_address=processes.get_free_address(),
            call_address=processes.get_free_address(),
            control_address=processes.get_free_address(),
            readiness_address=processes.get_free_address(),
            announcement_address=processes.get_free_address(),
            store_address=self.store_address,
            metrics_address=processes.get_free_address(),
            grace_ms=self._grace_ms,
            # The defaults of the settings file, but for `retry_floor`: with
            # ten times as much, a daemon that has just started may retry.
            retry_ratio=0.2,
            retry_floor=490.0,
            retry_window_ms=10_000.0,
            config_apply_ms=2000.0,
        )

    async def publish(self, *routes: dict[str, object]) -> None:
        """Writes a new version of the configuration to the store."""
        self._configuration_version += 1
        services = sorted({worker.service for worker in self.workers})
        value = {
            "version": self._configuration_version,
            "routes": routes,
            "services": [{"name": name} for name in services],
        }
        api = self.store.connect()
        current = await api.get("config/main")
        version = 0 if current is None else current.version
        await api.put("config/main", json.dumps(value).encode(), version)

    async def start_daemon(self, number: int) -> runtime.PlatformDaemon:
        """Starts the daemon of a worker."""
        daemon = runtime.PlatformDaemon(self.settings[number])
        stack = contextlib.AsyncExitStack()
        await self._stack.enter_async_context(stack)
        await stack.enter_async_context(daemon)
        self.daemons.append(daemon)
        self._daemon_stacks[number] = stack
        return daemon

    async def stop_daemon(self, number: int) -> None:
        """Drains the daemon of a worker and stops it, as SIGTERM does."""
        await self.daemons[number].drain()
        await self._daemon_stacks[number].aclose()

    async def restart_daemon(self, number: int) -> runtime.PlatformDaemon:
        """Stops the daemon of a worker without a drain; starts a new one.

        The new daemon is the last of `daemons`. The index `number` must still
        be that of the old one there.
        """
        await self._daemon_stacks[number].aclose()
        self.daemons.pop(number)
        return await self.start_daemon(number)

    async def get_readiness_status(self, number: int) -> int:
        """Returns the status of a daemon's readiness check."""
        request = http.Request("GET", "/api/ready", (), call_body.EMPTY)
        address = self.settings[number].readiness_address
        async with self.callers.send(address, request) as answer:
            return answer.status

    async def send(self, request: http.Request, number: int = 0) -> http.Answer:
        """Sends a request to the daemon of a worker and returns the answer."""
        address = self.settings[number].caller_address
        async with self.callers.send(address, request) as answer:
            return answer

    async def report(
        self, number: int, *, state: str = "ready", sequence: int = 1
    ) -> int:
        """Sends a worker's heartbeat; returns the answer's status.

        A report whose `sequence` is not above that of the last one is ignored.
        """
        worker = self.workers[number]
        value = {
            "address": worker.address,
            "born": 1,
            "info": {
                "service": worker.service,
                "version": "v1",
                "zone": self.settings[number].data_centre,
                "maxConcurrency": worker.slots,
            },
            "status": {
                "state": state,
                "sequence": sequence,
                "warmupLeftS": 0,
            },
        }
        return await self.send_report(
            number, worker.name, json.dumps(value).encode()
        )

    async def send_report(self, number: int, name: str, data: bytes) -> int:
        """Sends bytes as a worker's heartbeat; returns the answer's status."""
        return await self.announce(number, f"Heartbeat/{name}", data)

    async def deregister(self, number: int, data: bytes) -> int:
        """Announces a worker's shutdown; returns the answer's status."""
        name = self.workers[number].name
        return await self.announce(number, f"Deregister/{name}", data)

    async def announce(self, number: int, call: str, data: bytes) -> int:
        """Sends a call of a worker about itself; returns the status."""
        request = http.Request(
            "POST", f"/api/Instances.{call}", (), call_body.BufferedBody(data)
        )
        address = self.settings[number].announcement_address
        async with self.callers.send(address, request) as answer:
            return answer.status

    async def wait_until_discovered(self) -> None:
        """Waits until all daemons know the routes and all workers."""
        count = len(self.daemons)
        await wait_until(
            lambda: all(
                daemon.count_instances() == count for daemon in self.daemons
            )
        )


async def wait_until(
    condition: Callable[[], bool], timeout_s: float = 5.0
) -> None:
    """Polls until a condition holds; fails after the time-out."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + timeout_s
    for _ in iter(condition, True):
        assert loop.time() < deadline_s, (
            f"condition not met within {timeout_s} s"
        )
        await asyncio.sleep(POLL_S)


@contextlib.asynccontextmanager
async def open_deployment(
    *workers: Worker,
    routes: tuple[dict[str, object], ...],
    is_published: bool = True,
    grace_ms: float = 6000.0,
    **settings: float,
) -> AsyncIterator[Deployment]:
    """Runs a deployment whose daemons know the routes and all workers.

    Without `is_published` the store has no configuration at the start.
    `settings` are fields of `settings_file.PlatformSettings`.
    """
    deployment = Deployment(list(workers), grace_ms)
    deployment.settings = [
        dataclasses.replace(daemon_settings, **settings)  # type: ignore[arg-type]
        for daemon_settings in deployment.settings
    ]
    if is_published:
        await deployment.publish(*routes)
    server = platform_standin.PlatformServer(
        deployment.store_address, deployment.store
    )
    async with deployment._stack as stack:
        await stack.enter_async_context(server)
        await stack.enter_async_context(deployment.callers)
        for number, worker in enumerate(workers):
            worker.caller_address = deployment.settings[number].caller_address
            await worker.start()
            stack.push_async_callback(worker.stop)
            await deployment.start_daemon(number)
        if is_published:
            await deployment.wait_until_discovered()
        yield deployment
