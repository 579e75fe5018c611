"""Counts what the exchange between daemons did."""

import collections

from kumquatridge.telemetry import gauges
from kumquatridge.telemetry import metrics


class ControlCounts:
    """Keeps plain integers; see `membership.recorder.Recorder`."""

    def __init__(self) -> None:
        self.failures: collections.Counter[str] = collections.Counter()
        self.verdicts: collections.Counter[str] = collections.Counter()
        self.size_bytes: collections.Counter[str] = collections.Counter()

    def record_peer_failure(self, reason: str) -> None:
        """Counts a control message that came to nothing, by reason."""
        self.failures[reason] += 1

    def record_verdict(self, verdict: str) -> None:
        """Counts a suspicion, death or refutation."""
        self.verdicts[verdict] += 1

    def record_control_bytes(self, direction: str, size_bytes: int) -> None:
        """Counts the bytes of control messages, `sent` or `received`."""
        self.size_bytes[direction] += size_bytes

    def expose(self, exporter: metrics.MetricExporter) -> None:
        """Adds the counters to what is exported."""
        exporter.add_counter(gauges.PEER_FAILURES, lambda: self.failures)
        exporter.add_counter(gauges.MEMBER_VERDICTS, lambda: self.verdicts)
        exporter.add_counter(gauges.CONTROL_BYTES, lambda: self.size_bytes)
