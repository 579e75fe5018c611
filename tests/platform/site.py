"""A small deployment of the platform in one process, for tests.

Workers are stand-ins on loopback whose behaviour is a data class; callers send
requests to a daemon's address for its own machine.
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
from kumquatridge.transport import listener
from kumquatridge.transport import messages as http
from kumquatridge.transport import pool
from tests import processes

HOST = "shop.example"
ZONES = ("north", "south")
POLL_S = 0.02


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """What a stand-in worker does with requests."""

    work_ms: float = 1.0
    status: int = 200
    not_run: bool = False
    drops: bool = False
    crashes: bool = False
    calls: tuple[str, ...] = ()


class Worker:
    """A stand-in worker and what it has seen."""

    def __init__(self, name: str, service: str, slots: int = 8) -> None:
        self.name = name
        self.service = service
        self.slots = slots
        self.address = processes.get_free_address()
        self.behaviour = Behaviour()
        self.seen: list[http.Request] = []
        self.running = 0
        self.most_running = 0
        self.cancelled = 0
        self.is_healthy = True
        self.caller_address = ""
        self._listener: listener.HttpListener | None = None
        self._connections = pool.ConnectionPool()

    def get_header(self, name: str, index: int = -1) -> str | None:
        """Returns a header of a request that arrived."""
        return http.find_header(self.seen[index].headers, name)

    async def revive(self) -> None:
        """Starts to listen, unless it does."""
        if self._listener is None:
            self._listener = listener.HttpListener(self.address, self.handle)
            await self._listener.__aenter__()

    async def stop(self) -> None:
        """Ends all connections and listens no more, as after a crash."""
        stopped, self._listener = self._listener, None
        if stopped is not None:
            await stopped.__aexit__(None, None, None)

    async def handle(
        self, request: http.Request, responder: listener.Responder
    ) -> None:
        """Answers one request."""
        if request.target == "/healthz":
            status = 200 if self.is_healthy else 503
            marks = (
                ("Instance-Id", self.name),
                ("Server-Load", f"{self.running},0,{self.slots},100"),
            )
            await responder.send(http.Answer(status, marks, call_body.EMPTY))
            return
        if request.target == "/":
            await responder.send(http.Answer(400, (), call_body.EMPTY))
            return
        self.seen.append(request)
        expected = http.find_header(request.headers, "expected-instance")
        if expected != self.name:
            await responder.send(http.Answer(421, (), call_body.EMPTY))
            return
        await self._run(request, responder)

    async def _run(
        self, request: http.Request, responder: listener.Responder
    ) -> None:
        behaviour = self.behaviour
        self.running += 1
        self.most_running = max(self.most_running, self.running)
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
            responder.drop()
            return
        request_id = http.find_header(request.headers, "request-id") or ""
        marks: outcomes.Headers = (
            ("Request-Id", request_id),
            ("Server-Signature", f"{self.name}/{request_id}"),
        )
        if behaviour.not_run:
            marks = (("Request-Id", request_id), ("Not-Executed", "1"))
        body = call_body.BufferedBody(f"{self.name}{request.target}".encode())
        await responder.send(http.Answer(status, marks, body))

    async def _call(self, request: http.Request, path: str, number: int) -> int:
        parent = http.find_header(request.headers, "request-id")
        asked = make_request(path, request_id=f"{parent}.{number}")
        async with self._connections.send(self.caller_address, asked) as found:
            return found.status


def make_request(
    target: str,
    *,
    method: str = "GET",
    request_id: str = "id-1",
    deadline_ms: int = 2000,
    body: call_body.Body = call_body.EMPTY,
    more: outcomes.Headers = (),
) -> http.Request:
    """Returns a caller's request."""
    headers = (
        ("Host", HOST),
        ("Request-Id", request_id),
        ("Deadline-Ms", str(deadline_ms)),
        *more,
    )
    return http.Request(method, target, headers, body)


def make_route(
    prefix: str, *services: tuple[str, float], **fields: object
) -> dict[str, object]:
    """Returns a route as the operators write it."""
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


class Site:
    """The store, the daemons and their workers, while its context is open."""

    def __init__(self, workers: list[Worker], grace_ms: float) -> None:
        self.workers = workers
        self._grace_ms = grace_ms
        self.store = platform_store.PlatformStore()
        self.store_address = processes.get_free_address()
        self.daemons: list[runtime.SiteDaemon] = []
        self.settings = [self._make_settings(one) for one in workers]
        self.callers = pool.ConnectionPool()
        self._stack = contextlib.AsyncExitStack()
        self._version = 0
        self._running: dict[int, contextlib.AsyncExitStack] = {}

    def _make_settings(self, worker: Worker) -> settings_file.SiteSettings:
        number = self.workers.index(worker)
        return settings_file.SiteSettings(
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
            retry_ratio=0.2,
            retry_floor=49.0,
            retry_window_ms=10_000.0,
        )

    async def publish(self, *routes: dict[str, object]) -> None:
        """Writes a new version of the configuration to the store."""
        self._version += 1
        services = sorted({one.service for one in self.workers})
        value = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": name} for name in services],
        }
        api = self.store.connect()
        known = await api.get("config/main")
        version = 0 if known is None else known.version
        await api.put("config/main", json.dumps(value).encode(), version)

    async def start_daemon(self, number: int) -> runtime.SiteDaemon:
        """Starts the daemon beside a worker."""
        daemon = runtime.SiteDaemon(self.settings[number])
        stack = contextlib.AsyncExitStack()
        await self._stack.enter_async_context(stack)
        await stack.enter_async_context(daemon)
        self.daemons.append(daemon)
        self._running[number] = stack
        return daemon

    async def restart_daemon(self, number: int) -> runtime.SiteDaemon:
        """Stops the daemon beside a worker at once and starts it anew."""
        await self._running[number].aclose()
        self.daemons.pop(number)
        return await self.start_daemon(number)

    async def ask_ready(self, number: int) -> int:
        """Asks a daemon whether it is ready; returns the status."""
        request = http.Request("GET", "/api/ready", (), call_body.EMPTY)
        address = self.settings[number].readiness_address
        async with self.callers.send(address, request) as answer:
            return answer.status

    async def send(self, request: http.Request, number: int = 0) -> http.Answer:
        """Sends a request to a machine's daemon and reads the answer."""
        address = self.settings[number].caller_address
        async with self.callers.send(address, request) as answer:
            return answer

    async def report(
        self, number: int, *, state: str = "ready", sequence: int = 1
    ) -> int:
        """Lets a worker report on itself; returns the answer's status."""
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
        """Sends bytes as a worker's report; returns the answer's status."""
        request = http.Request(
            "POST",
            f"/api/Instances.Heartbeat/{name}",
            (),
            call_body.BufferedBody(data),
        )
        address = self.settings[number].announcement_address
        async with self.callers.send(address, request) as answer:
            return answer.status

    async def wait_until_known(self) -> None:
        """Waits until each daemon knows the routes and all workers."""
        count = len(self.daemons)
        await wait_until(
            lambda: all(one.count_instances() == count for one in self.daemons)
        )


async def wait_until(
    condition: Callable[[], bool], timeout_s: float = 5.0
) -> None:
    """Waits until a condition holds."""
    loop = asyncio.get_running_loop()
    ends_s = loop.time() + timeout_s
    for _ in iter(condition, True):
        assert loop.time() < ends_s, "the condition did not come to hold"
        await asyncio.sleep(POLL_S)


@contextlib.asynccontextmanager
async def open_site(
    *workers: Worker,
    routes: tuple[dict[str, object], ...],
    is_published: bool = True,
    grace_ms: float = 6000.0,
) -> AsyncIterator[Site]:
    """Runs a site whose daemons know the routes and all workers."""
    site = Site(list(workers), grace_ms)
    if is_published:
        await site.publish(*routes)
    server = platform_standin.PlatformServer(site.store_address, site.store)
    async with site._stack as stack:
        await stack.enter_async_context(server)
        await stack.enter_async_context(site.callers)
        for number, worker in enumerate(workers):
            worker.caller_address = site.settings[number].caller_address
            await worker.revive()
            stack.push_async_callback(worker.stop)
            await site.start_daemon(number)
        if is_published:
            await site.wait_until_known()
        yield site
