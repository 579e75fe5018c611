"""Encodes outcomes as HTTP headers of answers between daemons."""

from collections.abc import Mapping

from returns import result

from kumquatridge.calls import body as call_body
from kumquatridge.calls import load_reports
from kumquatridge.calls import outcomes
from kumquatridge.encoding import refusal_codec
from kumquatridge.encoding import report_codec
from kumquatridge.http import headers


def encode_outcome(outcome: outcomes.Outcome) -> outcomes.Headers:
    """Encodes the outcome of a call as headers."""
    daemon_headers = list(_encode_variant(outcome))
    if outcome.unspent_retries:
        daemon_headers.append(
            (headers.UNSPENT_RETRIES, str(outcome.unspent_retries))
        )
    if outcome.report is not None:
        report = report_codec.encode_report(outcome.report)
        daemon_headers.append((headers.REPORT, report))
    return tuple(daemon_headers)


def _encode_variant(outcome: outcomes.Outcome) -> outcomes.Headers:
    match outcome:
        case outcomes.Completed(is_worker_shed=shed, child_failed=child_failed):
            return (
                (headers.OUTCOME, headers.OUTCOME_COMPLETED),
                *_encode_flag(headers.WORKER_SHED, shed),
                *_encode_flag(headers.CHILD_FAILED, child_failed),
            )
        case outcomes.NotRun(refusal):
            return (
                (headers.OUTCOME, headers.OUTCOME_NOT_RUN),
                (headers.REASON, refusal.code),
                (headers.REFUSAL, refusal_codec.encode_refusal(refusal)),
            )
        case outcomes.Failed(detail):
            return (
                (headers.OUTCOME, headers.OUTCOME_FAILED),
                (headers.DETAIL, detail),
            )
        case outcomes.Unknown(detail, worker_lost=worker_lost):
            return (
                (headers.OUTCOME, headers.OUTCOME_UNKNOWN),
                (headers.DETAIL, detail),
                *_encode_flag(headers.WORKER_LOST, worker_lost),
            )


def _encode_flag(name: str, value: bool) -> outcomes.Headers:
    return ((name, headers.TRUE),) if value else ()


def decode_outcome(
    status: int, answer_headers: outcomes.Headers, body: call_body.Body
) -> outcomes.Outcome:
    """Decodes the outcome from the headers of a daemon's answer.

    Names of headers must be in lower case. `status` is the HTTP status of the
    answer. A completed call keeps all headers; front ends remove those with
    `headers.OWN_PREFIX`.
    """
    daemon_headers = {
        name: value
        for name, value in answer_headers
        if name.startswith(headers.OWN_PREFIX)
    }
    unspent_retries = _parse_count(
        daemon_headers.get(headers.UNSPENT_RETRIES, "0")
    )
    report = report_codec.decode_report(daemon_headers.get(headers.REPORT, ""))
    match daemon_headers.get(headers.OUTCOME):
        case headers.OUTCOME_COMPLETED:
            return outcomes.Completed(
                status,
                answer_headers,
                body,
                unspent_retries,
                report,
                is_worker_shed=headers.WORKER_SHED in daemon_headers,
                child_failed=headers.CHILD_FAILED in daemon_headers,
            )
        case headers.OUTCOME_NOT_RUN:
            return _decode_refusal(daemon_headers, unspent_retries, report)
        case headers.OUTCOME_FAILED:
            return outcomes.Failed(
                daemon_headers.get(headers.DETAIL, ""), unspent_retries, report
            )
    return outcomes.Unknown(
        daemon_headers.get(headers.DETAIL, "no outcome marked"),
        unspent_retries,
        report,
        worker_lost=headers.WORKER_LOST in daemon_headers,
    )


def _decode_refusal(
    daemon_headers: Mapping[str, str],
    unspent_retries: int,
    report: load_reports.LoadReport | None,
) -> outcomes.Outcome:
    decoded = refusal_codec.decode_refusal(
        daemon_headers.get(headers.REASON, ""),
        daemon_headers.get(headers.REFUSAL, ""),
    )
    match decoded:
        case result.Success(refusal):
            return outcomes.NotRun(refusal, unspent_retries, report)
        case result.Failure(fault):
            detail = f"refused without a known reason: {fault}"
            return outcomes.Unknown(detail, unspent_retries)
    raise AssertionError("a result is a success or a failure")


def _parse_count(text: str) -> int:
    """Returns a decimal count; malformed text counts as 0."""
    return int(text) if text.isascii() and text.isdigit() else 0
