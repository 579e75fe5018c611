"""OpenTelemetry instruments of the daemon."""

from opentelemetry import metrics as otel_metrics

from kumquatridge.calls import call as calls
from kumquatridge.calls import refusals

METER_NAME = "kumquatridge"


class MetricRecorder:
    """Counts refusals and retries in OpenTelemetry counters."""

    def __init__(self, provider: otel_metrics.MeterProvider) -> None:
        meter = provider.get_meter(METER_NAME)
        self._refusals = meter.create_counter(
            "kumquatridge_refusals",
            description="Calls that were not run, by reason.",
        )
        self._retries = meter.create_counter(
            "kumquatridge_retries",
            description="Further attempts at calls, by reason.",
        )
        self._retries_denied = meter.create_counter(
            "kumquatridge_retries_denied",
            description="Further attempts that were not allowed, by reason.",
        )

    def record_refusal(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> None:
        """Counts a call that was not run and why."""
        self._refusals.add(
            1,
            {
                "reason": refusal.code,
                "service": call.service,
                "importance": call.chain.importance.name.lower(),
            },
        )

    def record_retry(self, call: calls.Call, reason: str) -> None:
        """Counts another attempt at a call and why."""
        self._retries.add(1, {"reason": reason, "service": call.service})

    def record_retry_denied(self, call: calls.Call, reason: str) -> None:
        """Counts an attempt that would have helped but wasn't allowed."""
        self._retries_denied.add(
            1, {"reason": reason, "service": call.service}
        )
