"""Encodes the load report that a daemon attaches to its answers."""

import msgspec

from kumquatridge import decode_errors
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import load_reports


class _ReportMessage(msgspec.Struct, frozen=True, array_like=True):
    """A `calls.load_reports.LoadReport` on the wire."""

    importance: call_importance.Importance
    depth_class: int
    threshold: int
    in_progress: int
    limit: int
    latency_ms: float


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(_ReportMessage)


def encode_report(report: load_reports.LoadReport) -> str:
    """Encodes a report as a JSON array; its latency is rounded to 0.01 ms."""
    message = _ReportMessage(
        report.importance,
        report.depth_class,
        report.threshold,
        report.in_progress,
        report.limit,
        round(report.latency_ms, 2),
    )
    return _encoder.encode(message).decode()


def decode_report(text: str) -> load_reports.LoadReport | None:
    """Decodes a report; returns None for malformed text."""
    try:
        message = _decoder.decode(text)
    except decode_errors.DECODE_ERRORS:
        return None
    return load_reports.LoadReport(
        message.importance,
        message.depth_class,
        message.threshold,
        message.in_progress,
        message.limit,
        message.latency_ms,
    )
