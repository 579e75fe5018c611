"""Counters of settings changes and of failures of the platform to answer."""

import collections

from kumquatridge.telemetry import metric_specs
from kumquatridge.telemetry import metrics

_FOUND_BY_LISTING = "listing"


class SettingsCounts:
    """Implements `settings.recorder.SettingsRecorder` with counters.

    `applied` is not exposed as a metric.
    """

    def __init__(self) -> None:
        self.applied = 0
        self.rejections: collections.Counter[str] = collections.Counter()
        self.platform_failures: collections.Counter[str] = collections.Counter()
        self.missed_changes: collections.Counter[str] = collections.Counter()

    def record_applied(self, node_count: int) -> None:
        """Counts settings nodes of which a newer version was applied."""
        self.applied += node_count

    def record_rejection(self, reason: str) -> None:
        """Counts a rejected version of a settings node, by reason."""
        self.rejections[reason] += 1

    def record_platform_failure(self, operation: str) -> None:
        """Counts a request that the platform did not answer, by operation."""
        self.platform_failures[operation] += 1

    def record_missed_change(self) -> None:
        """Counts a change that a listing found and the watch did not report."""
        self.missed_changes[_FOUND_BY_LISTING] += 1

    def expose(self, exporter: metrics.MetricExporter) -> None:
        """Registers the counters with an exporter."""
        exporter.add_counter(
            metric_specs.SETTINGS_REJECTIONS, lambda: self.rejections
        )
        exporter.add_counter(
            metric_specs.PLATFORM_FAILURES, lambda: self.platform_failures
        )
        exporter.add_counter(
            metric_specs.MISSED_CHANGES, lambda: self.missed_changes
        )
