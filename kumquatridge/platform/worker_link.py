"""The leg from a daemon to the worker beside it, on the platform."""

import asyncio
from collections.abc import Callable
import math

from kumquatridge import scopes
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.platform import headers
from kumquatridge.settings import route_store
from kumquatridge.transport import errors as transport_errors
from kumquatridge.transport import messages as http
from kumquatridge.transport import pool
from kumquatridge.workers import own_worker
from kumquatridge.workers import supervisor as worker_supervisor

STATUS_OK = 200
STATUS_MISDIRECTED = 421
DEFAULT_HEALTH_PATH = "/healthz"
HEALTH_TIMEOUT_S = 1.0
# A kept connection may be closed by the worker just as a call is sent. Calls
# that can't be repeated use only connections that were used this recently.
FRESH_IDLE_MS = 300.0
# When a worker that was full may have room again; a queue of its own length
# takes a few service times to empty.
FULL_RETRY_MS = 200

NEW_CONNECTION = pool.Bounds(idle_ms=0.0)

LoseWorker = Callable[[str, str], None]


class SiteWorkerLink:
    """Carries calls to the own worker."""

    def __init__(
        self,
        connections: pool.ConnectionPool,
        worker: own_worker.OwnWorker,
        lose_worker: LoseWorker,
    ) -> None:
        self._connections = connections
        self._worker = worker
        self._lose_worker = lose_worker

    def send(self, call: calls.Call, address: str, token: str) -> "_Attempt":
        """Sends a call; see `callpath.links.WorkerLink`."""
        del token  # Workers name their calls after the request's own id.
        return _Attempt(self, call, address)

    def get_serving(self) -> own_worker.WorkerIdentity | None:
        """Returns the worker that takes calls, if any."""
        return self._worker.get_serving()

    def open(
        self, call: calls.Call, address: str, worker: str
    ) -> pool.Exchange:
        """Returns the exchange of a call for its answer."""
        return self._connections.send(
            address,
            _make_request(call, worker),
            accepts=lambda found: _answers(found, call.request_id),
            idle_ms=None if call.policy.idempotent else FRESH_IDLE_MS,
            timeout_ms=max(0.0, call.chain.get_remaining_ms()),
        )

    async def judge_error(
        self,
        error: transport_errors.TransportError,
        address: str,
        worker: str,
    ) -> outcomes.Outcome:
        """Returns what is known of a call that got no answer."""
        match error:
            case transport_errors.ConnectError():
                self._lose_worker(worker, str(error))
                return outcomes.NotRun(refusals.Unreachable(worker))
            case transport_errors.ConnectionBrokenError():
                lost = not await self._accepts_connections(address)
                if lost:
                    self._lose_worker(worker, "crashed")
                return outcomes.Unknown(
                    f"connection to the worker: {error}", worker_lost=lost
                )
            case transport_errors.AnswerTimeoutError():
                return outcomes.Unknown(
                    "no answer before the deadline", timed_out=True
                )
            case _:
                return outcomes.Unknown(f"the worker's answer: {error}")

    def judge(self, answer: http.Answer, worker: str) -> outcomes.Outcome:
        """Returns what a whole answer of the worker means."""
        if answer.status == STATUS_MISDIRECTED:
            self._lose_worker(worker, "another worker has the address")
            return outcomes.NotRun(refusals.Unreachable(worker))
        if http.find_header(answer.headers, headers.NOT_RUN) is not None:
            return outcomes.NotRun(
                refusals.WorkerRefused(answer.status, FULL_RETRY_MS)
            )
        return outcomes.Completed(
            answer.status,
            headers.keep_for_caller(answer.headers),
            answer.body,
        )

    async def _accepts_connections(self, address: str) -> bool:
        """Tells whether the worker still listens; False when it crashed."""
        try:
            opened = await self._connections.lend(address, NEW_CONNECTION)
        except transport_errors.ConnectError:
            return False
        opened.close()
        return True


class _Attempt(scopes.Scope[outcomes.Outcome]):
    """A call at the own worker, cancelled when it is left early."""

    def __init__(
        self, link: SiteWorkerLink, call: calls.Call, address: str
    ) -> None:
        self._link = link
        self._call = call
        self._address = address
        self._exchange: pool.Exchange | None = None

    async def _open(self) -> outcomes.Outcome:
        call = self._call
        identity = self._link.get_serving()
        if identity is None:
            return outcomes.NotRun(refusals.Draining(call.service))
        exchange = self._link.open(call, self._address, identity.worker)
        try:
            answer = await exchange.__aenter__()
        except transport_errors.TransportError as error:
            return await self._link.judge_error(
                error, self._address, identity.worker
            )
        self._exchange = exchange
        return self._link.judge(answer, identity.worker)

    async def _close(self, error: BaseException | None) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            await scopes.leave(exchange, error)


def _make_request(call: calls.Call, worker: str) -> http.Request:
    remaining_ms = max(1, math.floor(call.chain.get_remaining_ms()))
    sent = (
        *call.headers,
        ("Deadline-Ms", str(remaining_ms)),
        ("Expected-Instance", worker),
        ("Caller-Service", call.caller),
    )
    return http.Request(call.method, call.path, sent, call.body)


def _answers(found: outcomes.Headers, request_id: str) -> bool:
    """Tells whether an answer's id is that of the request, or missing."""
    answered = http.find_header(found, headers.REQUEST_ID)
    return answered is None or answered == request_id


class SiteHealthCheck:
    """Asks the own worker for its health."""

    def __init__(
        self, connections: pool.ConnectionPool, store: route_store.RouteStore
    ) -> None:
        self._connections = connections
        self._store = store

    async def check(
        self, service: str, address: str
    ) -> worker_supervisor.Health:
        """Returns what the worker at an address said."""
        index = self._store.index
        profile = None if index is None else index.find_service(service)
        if profile is None:
            return worker_supervisor.Unhealthy("health path not known yet")
        request = http.Request(
            "GET", profile.health_path, (("Host", address),), call_body.EMPTY
        )
        try:
            async with (
                asyncio.timeout(HEALTH_TIMEOUT_S),
                self._connections.send(address, request) as answer,
            ):
                return _read_health(answer)
        except (TimeoutError, transport_errors.TransportError) as error:
            return worker_supervisor.Unhealthy(str(error) or "no answer")


def _read_health(answer: http.Answer) -> worker_supervisor.Health:
    worker = http.find_header(answer.headers, headers.ANSWERING_WORKER)
    if answer.status != STATUS_OK or worker is None:
        return worker_supervisor.Unhealthy(f"status {answer.status}")
    load = http.find_header(answer.headers, headers.LOAD) or ""
    # Running, waiting, slots, and how long work takes now in per cent.
    figures = [figure.strip() for figure in load.split(",")]
    slots = figures[2] if len(figures) > 2 else ""
    return worker_supervisor.Healthy(
        worker, int(slots) if slots.isdecimal() else 0
    )
