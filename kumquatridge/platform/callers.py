"""HTTP front end for callers on the same instance."""

import asyncio
from collections.abc import Callable
import random

from kumquatridge import clock
from kumquatridge.admission import connection_limits
from kumquatridge.admission import retry_after
from kumquatridge.callpath import links
from kumquatridge.callpath import routed_call_builder
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.platform import headers
from kumquatridge.telemetry import request_log
from kumquatridge.transport import http_listener
from kumquatridge.transport import messages as http

MS_PER_S = 1000.0
# Labels streamed answers that did not end before the deadline.
TRUNCATED_AT_DEADLINE = "deadline"
# Labels streamed answers that did not end before the daemon stopped.
TRUNCATED_AT_STOP = "stop"
STATUS_NOT_RUN = 503
STATUS_NO_ROUTE = 404
STATUS_TOO_LARGE = 413
STATUS_MALFORMED = 400
STATUS_FAILED = 502
STATUS_TIMED_OUT = 504
# Statuses that mean to callers on the platform that a request did not run.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class CallerEndpoint:
    """Serves callers on the same instance, including the local worker.

    `get_service` returns the service of the local worker, which is the caller
    of all calls. `accepts` decides whether a daemon that may be stopping
    accepts a call, and `limiter` whether there is memory for it.
    """

    def __init__(
        self,
        builder: routed_call_builder.RoutedCallBuilder,
        dispatcher: links.Dispatcher,
        recorder: request_log.RequestLog,
        get_service: Callable[[], str],
        accepts: Callable[[calls.Call], bool],
        *,
        limiter: connection_limits.ConnectionLimiter,
    ) -> None:
        self._limiter = limiter
        self._builder = builder
        self._dispatcher = dispatcher
        self._recorder = recorder
        self._get_service = get_service
        self._accepts = accepts
        self._random = random.Random()
        # One for each call in progress; expires when the call is given up.
        self._limits: set[asyncio.Timeout] = set()

    async def handle(
        self, request: http.Request, responder: http_listener.Responder
    ) -> None:
        """Dispatches a request and sends the answer or a refusal."""
        routed_request = self._parse_request(request)
        match self._make_call(routed_request):
            case calls.Call() as call:
                dispatch = (
                    self._dispatch
                    if responder.is_request_small
                    else self._dispatch_within_memory
                )
                await dispatch(call, routed_request.remaining_ms, responder)
            case refusal:
                self._recorder.record_rejection(refusal)
                retry_ms = refusals.get_retry_after_ms(refusal)
                await responder.send(
                    _make_refusal(refusal, routed_request.request_id, retry_ms)
                )

    async def _dispatch_within_memory(
        self,
        call: calls.Call,
        remaining_ms: float | None,
        responder: http_listener.Responder,
    ) -> None:
        """Dispatches a call, or refuses it if there is no memory for it."""
        held_bytes = responder.request_bytes
        with self._limiter.reserve(held_bytes) as is_reserved:
            if is_reserved:
                await self._dispatch(call, remaining_ms, responder)
                return
        refusal = refusals.MemoryFull(
            held_bytes, connection_limits.RETRY_AFTER_MS
        )
        outcome = outcomes.NotRun(refusal)
        await responder.send(self._record_outcome(call, outcome, remaining_ms))

    def give_up_calls(self) -> None:
        """Ends all calls in progress; answers them as having no known result.

        Their callers get an answer before the process ends. A streamed answer
        that has begun is cut off.
        """
        now_s = asyncio.get_running_loop().time()
        for limit in self._limits:
            limit.reschedule(now_s)

    def _make_call(
        self, routed_request: routed_call_builder.RoutedRequest
    ) -> calls.Call | refusals.Refusal:
        match self._builder.make_call(routed_request):
            case calls.Call() as call if not self._accepts(call):
                return refusals.NotReady(routed_call_builder.NOT_READY_RETRY_MS)
            case call_or_refusal:
                return call_or_refusal

    async def _dispatch(
        self,
        call: calls.Call,
        remaining_ms: float | None,
        responder: http_listener.Responder,
    ) -> None:
        limit = asyncio.timeout(None)
        self._limits.add(limit)
        try:
            async with limit:
                answer = await self._exchange(call, remaining_ms, responder)
        except TimeoutError:
            if not limit.expired():
                raise
            if responder.is_answered:
                self._recorder.record_truncated_answer(call, TRUNCATED_AT_STOP)
                return
            answer = self._answer_given_up(call, remaining_ms)
        finally:
            self._limits.discard(limit)
        # A buffered body is sent after the worker's slot has been released.
        if call_body.is_buffered(answer.body):
            await responder.send(answer)

    async def _exchange(
        self,
        call: calls.Call,
        remaining_ms: float | None,
        responder: http_listener.Responder,
    ) -> http.Answer:
        """Dispatches a call; sends its answer if the body is streamed."""
        async with self._dispatcher.dispatch(call) as outcome:
            answer = self._record_outcome(call, outcome, remaining_ms)
            if not call_body.is_buffered(answer.body):
                await self._send_stream(call, answer, remaining_ms, responder)
        return answer

    def _answer_given_up(
        self, call: calls.Call, remaining_ms: float | None
    ) -> http.Answer:
        outcome = outcomes.Unknown("given up at the end of the grace period")
        return self._record_outcome(call, outcome, remaining_ms)

    def _record_outcome(
        self,
        call: calls.Call,
        outcome: outcomes.Outcome,
        remaining_ms: float | None,
    ) -> http.Answer:
        """Records the outcome of a call and returns the answer for it."""
        self._builder.record_outcome(call, outcome)
        answer = self._make_answer(call, outcome, remaining_ms)
        detail = _describe_outcome(outcome)
        self._recorder.record_answer(call, answer.status, detail)
        return answer

    async def _send_stream(
        self,
        call: calls.Call,
        answer: http.Answer,
        remaining_ms: float | None,
        responder: http_listener.Responder,
    ) -> None:
        """Sends a streamed answer; cuts it off at the caller's deadline.

        A faulty worker may send a body without end. The deadline of the route
        applies if the caller sent none.
        """
        if remaining_ms is None:
            timeout_ms = call.chain.get_remaining_ms()
        else:
            timeout_ms = remaining_ms + call.received_ms - clock.get_now_ms()
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                await responder.send(answer)
        except TimeoutError:
            self._recorder.record_truncated_answer(call, TRUNCATED_AT_DEADLINE)

    def _make_answer(
        self,
        call: calls.Call,
        outcome: outcomes.Outcome,
        remaining_ms: float | None,
    ) -> http.Answer:
        """Returns the answer for the outcome of a call.

        A completed call has run. If the worker answered it with a status that
        tells callers that a request did not run, 502 is sent instead.
        """
        match outcome:
            case outcomes.Completed(status, worker_headers, body):
                if status in _NOT_RUN_STATUSES:
                    return _make_empty_answer(call, STATUS_FAILED)
                answer_headers = headers.filter_for_caller(worker_headers)
                return http.Answer(status, answer_headers, body)
            case outcomes.NotRun(refusal):
                retry_ms = self._choose_retry_after_ms(
                    call, refusal, remaining_ms
                )
                return _make_refusal(refusal, call.request_id, retry_ms)
            case outcomes.Unknown(timed_out=True):
                return _make_empty_answer(call, STATUS_TIMED_OUT)
            case outcomes.Failed() | outcomes.Unknown():
                if call.chain.get_remaining_ms() <= 0:
                    return _make_empty_answer(call, STATUS_TIMED_OUT)
                return _make_empty_answer(call, STATUS_FAILED)

    def _choose_retry_after_ms(
        self,
        call: calls.Call,
        refusal: refusals.Refusal,
        remaining_ms: float | None,
    ) -> int | None:
        """Returns the delay to send as Retry-After, None for no such header.

        `remaining_ms` is the time that was left until the caller's deadline
        when its request arrived, None if the caller sent no deadline.
        """
        if remaining_ms is None:
            return refusals.get_retry_after_ms(refusal)
        elapsed_ms = clock.get_now_ms() - call.received_ms
        return retry_after.choose_retry_after_ms(
            call.chain.importance, remaining_ms - elapsed_ms, self._random
        )

    def _parse_request(
        self, request: http.Request
    ) -> routed_call_builder.RoutedRequest:
        request_headers = request.headers
        return routed_call_builder.RoutedRequest(
            request_id=http.find_header(request_headers, headers.REQUEST_ID)
            or "",
            host=http.find_header(request_headers, headers.HOST) or "",
            method=request.method,
            target=request.target,
            headers=headers.filter_for_worker(request_headers),
            body=request.body,
            caller=self._get_service(),
            remaining_ms=_parse_ms(
                http.find_header(request_headers, headers.REMAINING_MS)
            ),
        )


def _make_empty_answer(call: calls.Call, status: int) -> http.Answer:
    return http.Answer(
        status, _make_request_id_header(call.request_id), call_body.EMPTY
    )


def _make_refusal(
    refusal: refusals.Refusal, request_id: str, retry_after_ms: int | None
) -> http.Answer:
    answer_headers = _make_request_id_header(request_id)
    if retry_after_ms is not None:
        seconds = f"{retry_after_ms / MS_PER_S:.3f}"
        answer_headers = (*answer_headers, ("Retry-After", seconds))
    return http.Answer(_get_status(refusal), answer_headers, call_body.EMPTY)


def _make_request_id_header(request_id: str) -> outcomes.Headers:
    return (("Request-Id", request_id),) if request_id else ()


def _get_status(refusal: refusals.Refusal) -> int:
    match refusal:
        case refusals.NoRoute() | refusals.UnknownService():
            return STATUS_NO_ROUTE
        case refusals.BodyTooLarge():
            return STATUS_TOO_LARGE
        case refusals.InvalidRequest():
            return STATUS_MALFORMED
        case _:
            return STATUS_NOT_RUN


def _parse_ms(text: str | None) -> float | None:
    """Parses a whole number of ms; returns None if absent or invalid."""
    if text is None or not text.isascii() or not text.isdigit():
        return None
    return float(text)


def _describe_outcome(outcome: outcomes.Outcome) -> str:
    match outcome:
        case outcomes.Completed():
            return "answered by the worker"
        case outcomes.NotRun(refusal):
            return f"not run: {refusal.code}"
        case outcomes.Failed(detail) | outcomes.Unknown(detail):
            return detail
