"""Registers the gauges of a daemon; each scrape reads their values."""

from kumquatridge.admission import controller as admission_controller
from kumquatridge.membership import table
from kumquatridge.operators import fleet_status
from kumquatridge.settings import instances
from kumquatridge.telemetry import metric_specs
from kumquatridge.telemetry import metrics


def add_gauges(
    exporter: metrics.MetricExporter,
    controller: admission_controller.AdmissionController,
    members_table: table.MemberTable,
    instance_table: instances.InstanceTable,
) -> None:
    """Exposes gauges of the local worker, the members and cut-offs.

    A cut-off is the time in seconds for which the platform or another data
    centre has been out of reach.
    """
    add_worker_gauges(exporter, controller)
    exporter.add_gauge(
        metric_specs.MEMBERS, lambda: sum(1 for _ in members_table)
    )
    exporter.add_gauge(
        metric_specs.PLATFORM_CUT_OFF_S,
        lambda: fleet_status.get_platform_cut_off_s(
            fleet_status.describe_platform(members_table, instance_table)
        ),
    )
    exporter.add_labelled_gauge(
        metric_specs.DATA_CENTRE_CUT_OFF_S,
        lambda: fleet_status.get_data_centre_cut_off_s(members_table),
    )


def add_worker_gauges(
    exporter: metrics.MetricExporter,
    controller: admission_controller.AdmissionController,
) -> None:
    """Exposes gauges of the local worker's admission controller."""
    exporter.add_gauge(metric_specs.IN_PROGRESS, lambda: controller.in_progress)
    exporter.add_gauge(metric_specs.QUEUED, lambda: controller.queued)
    exporter.add_gauge(metric_specs.LIMIT, lambda: controller.limit)
    exporter.add_gauge(
        metric_specs.OVERLOADED, lambda: controller.status.is_overloaded
    )
    exporter.add_gauge(
        metric_specs.ADMITTED_IMPORTANCE,
        lambda: controller.status.level.importance,
    )
    exporter.add_gauge(
        metric_specs.WORKER_LATENCY_MS, lambda: controller.status.latency_ms
    )
