"""Metrics of the daemon for the users' platform.

`platform.runtime.EXPORTER_MODULE` names this module, which is imported at the
first scrape.
"""

from kumquatridge.admission import controller as admission_controller
from kumquatridge.admission import gates
from kumquatridge.daemon import daemon_gauges
from kumquatridge.membership import table
from kumquatridge.telemetry import metric_specs
from kumquatridge.telemetry import metrics
from kumquatridge.telemetry import request_log


class PlatformMetricExporter:
    """Exports counters, gauges and latencies in the Prometheus format."""

    def __init__(
        self,
        recorder: request_log.RequestLog,
        controller: admission_controller.AdmissionController,
        members_table: table.MemberTable,
        gate: gates.GateController,
    ) -> None:
        self._recorder = recorder
        self._exporter = metrics.MetricExporter(recorder)
        daemon_gauges.add_worker_gauges(self._exporter, controller)
        self._exporter.add_gauge(
            metric_specs.MEMBERS, lambda: sum(1 for _ in members_table)
        )
        self._exporter.add_gauge(metric_specs.GATE_LEVEL, lambda: gate.level)
        self._exporter.add_answer_counter(recorder.answers)
        self._latencies = self._exporter.make_histogram(metric_specs.LATENCY_MS)

    def render(self) -> bytes:
        """Returns all metrics.

        The latencies recorded since the last scrape are added to the histogram.
        """
        pending = self._recorder.latencies_ms
        while pending:
            service, latency_ms = pending.popleft()
            self._latencies.record(latency_ms, {"service": service})
        return self._exporter.render()


def make_exporter(
    recorder: request_log.RequestLog,
    controller: admission_controller.AdmissionController,
    members_table: table.MemberTable,
    gate: gates.GateController,
) -> PlatformMetricExporter:
    """Returns the exporter; the metrics endpoint calls this by its name."""
    return PlatformMetricExporter(recorder, controller, members_table, gate)
