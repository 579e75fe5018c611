"""Calls and health checks from a daemon to its local worker, over HTTP."""

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
SUCCESS_STATUSES = range(200, 300)
STATUS_MISDIRECTED = 421
DEFAULT_HEALTH_PATH = "/healthz"
HEALTH_TIMEOUT_S = 1.0
# The worker may close a kept-alive connection just as a call is sent. Calls
# that can't be repeated use only connections idle for less than this time.
NON_IDEMPOTENT_MAX_IDLE_MS = 300.0
# Time after which a full worker is likely to have room again: its queue takes a
# few service times to empty.
FULL_WORKER_RETRY_MS = 200

# Allows no reuse of an idle connection.
NEW_CONNECTION = pool.ExchangeLimits(idle_ms=0.0)

# Called with the id of a lost worker and the reason.
WorkerLostCallback = Callable[[str, str], None]


class PlatformWorkerLink:
    """Sends calls to the local worker; a `callpath.links.WorkerLink`.

    In the methods, `worker` is the id of the worker that a call is meant for,
    and `address` the "host:port" of that worker.
    """

    def __init__(
        self,
        connections: pool.ConnectionPool,
        worker: own_worker.OwnWorker,
        on_worker_lost: WorkerLostCallback,
    ) -> None:
        self._connections = connections
        self._worker = worker
        self._on_worker_lost = on_worker_lost

    def send(self, call: calls.Call, address: str, token: str) -> "_Attempt":
        """Sends a call; `token` is not forwarded to the worker.

        Nested calls are matched to their parent by the prefix of their request
        id instead.
        """
        del token
        return _Attempt(self, call, address)

    def get_serving(self) -> own_worker.WorkerIdentity | None:
        """Returns the worker that accepts calls, None if there is none."""
        return self._worker.get_serving()

    def open(
        self, call: calls.Call, address: str, worker: str
    ) -> pool.Exchange:
        """Returns the HTTP exchange that sends a call and reads its answer.

        A call that the worker refused may be offered to it again, with the same
        request id. It is sent on another connection then: a copy of the refusal
        on the first one could not be told from the answer to the new offer.
        """
        limits = pool.ExchangeLimits(
            idle_ms=None
            if call.policy.idempotent
            else NON_IDEMPOTENT_MAX_IDLE_MS,
            timeout_ms=max(0.0, call.chain.get_remaining_ms()),
            key=call.request_id,
        )
        return self._connections.send(
            address,
            _make_request(call, worker),
            accepts=lambda answer_headers: _is_answer_to(
                answer_headers, call.request_id
            ),
            limits=limits,
        )

    async def classify_error(
        self,
        error: transport_errors.TransportError,
        address: str,
        worker: str,
    ) -> outcomes.Outcome:
        """Returns the outcome of a call that got no complete answer.

        A worker that no longer accepts connections is reported to
        `on_worker_lost`.
        """
        match error:
            case transport_errors.ConnectError():
                self._on_worker_lost(worker, str(error))
                return outcomes.NotRun(refusals.Unreachable(worker))
            case transport_errors.ConnectionBrokenError():
                lost = not await self._accepts_connections(address)
                if lost:
                    self._on_worker_lost(worker, "crashed")
                return outcomes.Unknown(
                    f"connection to the worker: {error}", worker_lost=lost
                )
            case transport_errors.AnswerTimeoutError():
                return outcomes.Unknown(
                    "no answer before the deadline", timed_out=True
                )
            case _:
                return outcomes.Unknown(f"the worker's answer: {error}")

    def classify_answer(
        self, answer: http.Answer, worker: str
    ) -> outcomes.Outcome:
        """Returns the outcome of a call that the worker answered.

        A success without the worker's signature isn't one to its callers. If
        another worker uses the address now, the worker that the call was
        meant for is reported to `on_worker_lost`.
        """
        if answer.status == STATUS_MISDIRECTED:
            self._on_worker_lost(worker, "address is in use by another worker")
            return outcomes.NotRun(refusals.Unreachable(worker))
        if http.find_header(answer.headers, headers.NOT_RUN) is not None:
            return outcomes.NotRun(
                refusals.WorkerRefused(answer.status, FULL_WORKER_RETRY_MS)
            )
        signature = http.find_header(answer.headers, headers.SIGNATURE)
        if signature is None and answer.status in SUCCESS_STATUSES:
            return outcomes.Unknown("the worker's answer: success unsigned")
        return outcomes.Completed(
            answer.status,
            headers.filter_for_caller(answer.headers),
            answer.body,
        )

    async def _accepts_connections(self, address: str) -> bool:
        """Returns whether the worker still listens; False after a crash."""
        try:
            connection = await self._connections.acquire(
                address, NEW_CONNECTION
            )
        except transport_errors.ConnectError:
            return False
        connection.close()
        return True


class _Attempt(scopes.Scope[outcomes.Outcome]):
    """A call to the local worker, cancelled when its context is left early."""

    def __init__(
        self, link: PlatformWorkerLink, call: calls.Call, address: str
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
            return await self._link.classify_error(
                error, self._address, identity.worker
            )
        self._exchange = exchange
        return self._link.classify_answer(answer, identity.worker)

    async def _close(self, error: BaseException | None) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            await scopes.exit_context(exchange, error)


def _make_request(call: calls.Call, worker: str) -> http.Request:
    remaining_ms = max(1, math.floor(call.chain.get_remaining_ms()))
    sent_headers = (
        *call.headers,
        ("Deadline-Ms", str(remaining_ms)),
        ("Expected-Instance", worker),
        ("Caller-Service", call.caller),
    )
    return http.Request(call.method, call.path, sent_headers, call.body)


def _is_answer_to(answer_headers: outcomes.Headers, request_id: str) -> bool:
    """Returns whether an answer names the request.

    Workers name it in every answer. One that names none may be a late copy of
    the answer to another request without an id.
    """
    answered_id = http.find_header(answer_headers, headers.REQUEST_ID) or ""
    return answered_id == request_id


class HttpHealthCheck:
    """Checks the health of the local worker over HTTP.

    Each check has a connection of its own. Answers to health checks have no
    request id: on a shared connection, a late copy of one would pass for the
    answer to a later check, though the worker is leaving by then.
    """

    def __init__(self, store: route_store.RouteStore) -> None:
        self._connections = pool.ConnectionPool(pool.PoolSettings(max_idle=0))
        self._store = store

    async def check(
        self, service: str, address: str
    ) -> worker_supervisor.Health:
        """Requests the health path of the service at an address."""
        index = self._store.index
        profile = None if index is None else index.find_service(service)
        if profile is None:
            return worker_supervisor.Unhealthy(
                f"health path of service {service!r} not known yet"
            )
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
            return worker_supervisor.Unhealthy(
                str(error) or f"no answer within {HEALTH_TIMEOUT_S} s"
            )


def _read_health(answer: http.Answer) -> worker_supervisor.Health:
    worker = http.find_header(answer.headers, headers.ANSWERING_WORKER)
    if answer.status != STATUS_OK or worker is None:
        return worker_supervisor.Unhealthy(
            f"health check answered with status {answer.status}"
        )
    load = http.find_header(answer.headers, headers.LOAD) or ""
    # "running,waiting,slots,service time"; the last is the current service time
    # as a percentage of the usual service time of the worker, and is not used
    # here.
    fields = [field.strip() for field in load.split(",")]
    slots = fields[2] if len(fields) > 2 else ""
    return worker_supervisor.Healthy(
        worker, int(slots) if slots.isdecimal() else 0
    )
