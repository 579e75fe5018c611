"""Writes outcomes as HTTP answers, with statuses from RFC 9110."""

import asyncio
from collections.abc import AsyncIterator
import math

import aiohttp
from aiohttp import web

from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.encoding import refusal_codec
from kumquatridge.encoding import report_codec
from kumquatridge.http import headers
from kumquatridge.telemetry import recorder as telemetry

# HTTP statuses for the outcomes `Unknown` and `Failed`.
STATUS_UNKNOWN = 502
STATUS_FAILED = 502
# Reasons for a truncated answer: the deadline passed, or a connection was lost,
# either the one from which the body is read or that of the receiver.
CUT_AT_DEADLINE = "deadline"
CUT_BY_LOST_CONNECTION = "sender_lost"


def get_status(refusal: refusals.Refusal) -> int:
    """Returns the HTTP status of a refusal."""
    match refusal:
        case refusals.Overloaded() | refusals.QueueTimeout():
            return 503
        case refusals.Draining() | refusals.NoInstance():
            return 503
        case refusals.Unreachable() | refusals.RetriesExhausted():
            return 503
        case refusals.NotReady() | refusals.WorkerRefused():
            return 503
        case refusals.GateClosed() | refusals.MemoryFull():
            return 503
        case refusals.NoRoute():
            return 404
        case refusals.DeadlineExceeded():
            return 504
        case refusals.Quarantined():
            return 429
        case refusals.KeyMemoryFull() | refusals.NotHome():
            return 503
        case refusals.ParentEnded():
            return 409
        case refusals.KeyReused():
            return 422
        case refusals.UnknownService():
            return 404
        case refusals.BodyTooLarge():
            return 413
        case refusals.WrongCredential():
            return 403
        case refusals.InvalidRequest():
            return 400


async def write_outcome(
    request: web.BaseRequest,
    call: calls.Call,
    outcome: outcomes.Outcome,
    recorder: telemetry.FrontEndRecorder,
) -> web.StreamResponse:
    """Writes an outcome as the answer to a request.

    An answer that doesn't come from the worker has the root id in a header, by
    which operators look up the decisions on the call.
    """
    match outcome:
        case outcomes.Completed():
            return await _write_completed(request, call, outcome, recorder)
        case outcomes.NotRun(refusal):
            answer = make_refusal_answer(refusal, outcome.unspent_retries)
        case outcomes.Failed(detail):
            answer = _make_text_answer(
                STATUS_FAILED, headers.OUTCOME_FAILED, detail, outcome
            )
        case outcomes.Unknown(detail):
            answer = _make_text_answer(
                STATUS_UNKNOWN, headers.OUTCOME_UNKNOWN, detail, outcome
            )
            if outcome.worker_lost:
                answer.headers[headers.WORKER_LOST] = headers.TRUE
    answer.headers[headers.ROOT_ID] = call.chain.root_id
    _add_report(answer, outcome)
    return answer


def make_refusal_answer(
    refusal: refusals.Refusal, unspent_retries: int
) -> web.Response:
    """Returns the answer to a call that was not executed.

    `unspent_retries` is the part of its retry allowance that was not used.
    """
    header_fields = {
        headers.OUTCOME: headers.OUTCOME_NOT_RUN,
        headers.REASON: refusal.code,
        headers.REFUSAL: refusal_codec.encode_refusal(refusal),
        headers.UNSPENT_RETRIES: str(unspent_retries),
    }
    retry_after_ms = refusals.get_retry_after_ms(refusal)
    if retry_after_ms is not None:
        header_fields[headers.RETRY_AFTER] = str(
            math.ceil(retry_after_ms / 1000)
        )
    return web.Response(
        status=get_status(refusal),
        headers=header_fields,
        text=f"not run: {refusal.code}\n",
    )


def _make_text_answer(
    status: int, outcome_name: str, detail: str, outcome: outcomes.Outcome
) -> web.Response:
    return web.Response(
        status=status,
        headers={
            headers.OUTCOME: outcome_name,
            headers.DETAIL: detail,
            headers.UNSPENT_RETRIES: str(outcome.unspent_retries),
        },
        text=f"{outcome_name}: {detail}\n",
    )


async def _write_completed(
    request: web.BaseRequest,
    call: calls.Call,
    outcome: outcomes.Completed,
    recorder: telemetry.FrontEndRecorder,
) -> web.StreamResponse:
    match outcome.body:
        case call_body.BufferedBody(data):
            response = web.Response(status=outcome.status, body=data)
            _add_headers(response, outcome)
            return response
        case call_body.StreamedBody(length_bytes, chunks):
            streamed = web.StreamResponse(status=outcome.status)
            _add_headers(streamed, outcome)
            streamed.content_length = length_bytes
            await streamed.prepare(request)
            cut_reason = await _write_chunks(streamed, chunks, call)
            if cut_reason is not None:
                recorder.record_truncated_answer(call, cut_reason)
                _abort(request)
            return streamed


async def _write_chunks(
    answer: web.StreamResponse, chunks: AsyncIterator[bytes], call: calls.Call
) -> str | None:
    """Writes the body; returns why it was truncated, or None if it is complete.

    The deadline also applies while the receiver doesn't read.
    """
    try:
        async with asyncio.timeout(call.chain.get_remaining_ms() / 1000.0):
            async for chunk in chunks:
                await answer.write(chunk)
            await answer.write_eof()
    except TimeoutError:
        return CUT_AT_DEADLINE
    except aiohttp.ClientError:
        return CUT_BY_LOST_CONNECTION
    return None


def _abort(request: web.BaseRequest) -> None:
    """Aborts the connection, so that a truncated answer is recognised."""
    if request.transport is not None:
        request.transport.abort()


def _add_headers(
    response: web.StreamResponse, outcome: outcomes.Completed
) -> None:
    for name, value in outcome.headers:
        response.headers.add(name, value)
    response.headers[headers.OUTCOME] = headers.OUTCOME_COMPLETED
    response.headers[headers.UNSPENT_RETRIES] = str(outcome.unspent_retries)
    if outcome.is_worker_shed:
        response.headers[headers.WORKER_SHED] = headers.TRUE
    if outcome.child_failed:
        response.headers[headers.CHILD_FAILED] = headers.TRUE
    _add_report(response, outcome)


def _add_report(
    response: web.StreamResponse, outcome: outcomes.Outcome
) -> None:
    if outcome.report is not None:
        response.headers[headers.REPORT] = report_codec.encode_report(
            outcome.report
        )
