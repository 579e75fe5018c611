"""Encodes answers between daemons of `kumquatridge.platform`.

An answer has the outcome, and gates that the answering daemon knows. Daemons of
`kumquatridge.daemon` send outcomes in HTTP headers; see `outcome_codec`.
"""

from collections.abc import Iterable
import dataclasses

import msgspec
from returns import result

from kumquatridge import decode_errors
from kumquatridge.admission import gates
from kumquatridge.calls import body as call_body
from kumquatridge.calls import load_reports
from kumquatridge.calls import outcomes
from kumquatridge.encoding import gate_codec
from kumquatridge.encoding import refusal_codec


@dataclasses.dataclass(frozen=True, slots=True)
class DecodedAnswer:
    """A decoded answer: the outcome, and gates (see `admission.gates`).

    The gates are those that the answering daemon knew and sent along.
    """

    outcome: outcomes.Outcome
    gates: tuple[gates.Gate, ...]


class _Answer(msgspec.Struct, frozen=True, array_like=True):
    """The fields common to all answers.

    The fields of answers are described in `calls.outcomes`, unless said here.
    """

    unspent_retries: int
    report: load_reports.LoadReport | None
    gates: tuple[gate_codec.GateMessage, ...]


class _Completed(_Answer, frozen=True, array_like=True, tag="completed"):
    status: int
    headers: outcomes.Headers
    is_worker_shed: bool
    child_failed: bool


class _NotRun(_Answer, frozen=True, array_like=True, tag="not-run"):
    """A refusal: its code, and its fields as encoded by `refusal_codec`."""

    code: str
    refusal: str


class _Failed(_Answer, frozen=True, array_like=True, tag="failed"):
    detail: str


class _Unknown(_Answer, frozen=True, array_like=True, tag="unknown"):
    detail: str
    worker_lost: bool
    timed_out: bool


_Message = _Completed | _NotRun | _Failed | _Unknown

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Message)


def encode_answer(
    outcome: outcomes.Outcome, known_gates: Iterable[gates.Gate], now_ms: float
) -> bytes:
    """Encodes an outcome in MessagePack, without its body.

    `known_gates` are sent with their age at `now_ms`, on the local clock.
    """
    gate_messages = gate_codec.encode_gates(known_gates, now_ms)
    return _encoder.encode(_make_message(outcome, gate_messages))


def _make_message(
    outcome: outcomes.Outcome, gate_messages: tuple[gate_codec.GateMessage, ...]
) -> _Message:
    unspent, report = outcome.unspent_retries, outcome.report
    match outcome:
        case outcomes.Completed(status, headers):
            return _Completed(
                unspent,
                report,
                gate_messages,
                status,
                headers,
                outcome.is_worker_shed,
                outcome.child_failed,
            )
        case outcomes.NotRun(refusal):
            fields = refusal_codec.encode_refusal(refusal)
            return _NotRun(unspent, report, gate_messages, refusal.code, fields)
        case outcomes.Failed(detail):
            return _Failed(unspent, report, gate_messages, detail)
        case outcomes.Unknown(detail):
            return _Unknown(
                unspent,
                report,
                gate_messages,
                detail,
                outcome.worker_lost,
                outcome.timed_out,
            )


def get_body(outcome: outcomes.Outcome) -> call_body.Body:
    """Returns the body to send after the encoded outcome."""
    match outcome:
        case outcomes.Completed(body=body):
            return body
        case _:
            return call_body.EMPTY


def decode_answer(
    data: bytes, body: call_body.Body, now_ms: float
) -> result.Result[DecodedAnswer, str]:
    """Decodes an answer, or returns a `Failure` that says what is wrong.

    `body` is the body of a completed call. `now_ms` is the time of receipt on
    the local clock, from which the ages of gates are subtracted.
    """
    try:
        message = _decoder.decode(data)
    except decode_errors.DECODE_ERRORS as error:
        return result.Failure(str(error))
    return result.Success(
        DecodedAnswer(
            _make_outcome(message, body),
            gate_codec.decode_gates(message.gates, now_ms),
        )
    )


def _make_outcome(message: _Message, body: call_body.Body) -> outcomes.Outcome:
    unspent, report = message.unspent_retries, message.report
    match message:
        case _Completed(status=status, headers=headers):
            return outcomes.Completed(
                status,
                headers,
                body,
                unspent,
                report,
                message.is_worker_shed,
                message.child_failed,
            )
        case _NotRun(code=code, refusal=fields):
            match refusal_codec.decode_refusal(code, fields):
                case result.Success(refusal):
                    return outcomes.NotRun(refusal, unspent, report)
                case result.Failure(fault):
                    detail = f"refused without a known reason: {fault}"
                    return outcomes.Unknown(detail, unspent)
            raise AssertionError("a result is a success or a failure")
        case _Failed(detail=detail):
            return outcomes.Failed(detail, unspent, report)
        case _Unknown(detail=detail):
            return outcomes.Unknown(
                detail, unspent, report, message.worker_lost, message.timed_out
            )
