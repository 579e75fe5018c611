"""Counters of the control messages between daemons."""

import collections

from kumquatridge.telemetry import metric_specs
from kumquatridge.telemetry import metrics


class ControlCounts:
    """Implements `membership.recorder.Recorder` with counters.

    The keys are the reasons of failures, the decisions, and the directions of
    messages.
    """

    def __init__(self) -> None:
        self.failures: collections.Counter[str] = collections.Counter()
        self.decisions: collections.Counter[str] = collections.Counter()
        self.size_bytes: collections.Counter[str] = collections.Counter()

    def record_peer_failure(self, reason: str) -> None:
        """Counts a failed exchange of control messages, by reason."""
        self.failures[reason] += 1

    def record_decision(self, decision: str) -> None:
        """Counts a decision: `suspected`, `died`, `left` or `refuted`."""
        self.decisions[decision] += 1

    def record_control_bytes(self, direction: str, size_bytes: int) -> None:
        """Counts the bytes of control messages, `sent` or `received`."""
        self.size_bytes[direction] += size_bytes

    def expose(self, exporter: metrics.MetricExporter) -> None:
        """Registers the counters with the exporter."""
        exporter.add_counter(metric_specs.PEER_FAILURES, lambda: self.failures)
        exporter.add_counter(
            metric_specs.MEMBER_VERDICTS, lambda: self.decisions
        )
        exporter.add_counter(
            metric_specs.CONTROL_BYTES, lambda: self.size_bytes
        )
