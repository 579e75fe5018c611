"""OpenTelemetry counters of the exchange between daemons."""

from opentelemetry import metrics as otel_metrics

from kumquatridge.telemetry import metrics


class ControlMetricRecorder:
    """Counts what membership did; see `membership.recorder.Recorder`."""

    def __init__(self, provider: otel_metrics.MeterProvider) -> None:
        meter = provider.get_meter(metrics.METER_NAME)
        self._failures = meter.create_counter(
            "kumquatridge_peer_failures",
            description="Control messages that came to nothing, by reason.",
        )
        self._verdicts = meter.create_counter(
            "kumquatridge_member_verdicts",
            description="Members suspected, dead, refuted or left.",
        )
        self._bytes = meter.create_counter(
            "kumquatridge_control_bytes",
            description="Bytes of control messages between daemons.",
        )

    def record_peer_failure(self, reason: str) -> None:
        """Counts a control message that came to nothing, by reason."""
        self._failures.add(1, {"reason": reason})

    def record_verdict(self, verdict: str) -> None:
        """Counts a suspicion, death or refutation."""
        self._verdicts.add(1, {"verdict": verdict})

    def record_control_bytes(self, direction: str, size_bytes: int) -> None:
        """Counts the bytes of control messages, `sent` or `received`."""
        self._bytes.add(size_bytes, {"direction": direction})
