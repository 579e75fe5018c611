"""Counts what happens to settings."""

import collections

from kumquatridge.telemetry import gauges
from kumquatridge.telemetry import metrics

_BY_LISTING = "listing"


class SettingsCounts:
    """Keeps plain integers, read when somebody scrapes."""

    def __init__(self) -> None:
        self.applied = 0
        self.rejections: collections.Counter[str] = collections.Counter()
        self.platform_failures: collections.Counter[str] = collections.Counter()
        self.missed_changes: collections.Counter[str] = collections.Counter()

    def record_applied(self, nodes: int) -> None:
        """Counts nodes of which a newer version was taken."""
        self.applied += nodes

    def record_rejection(self, reason: str) -> None:
        """Counts a record that was not taken and why."""
        self.rejections[reason] += 1

    def record_platform_failure(self, operation: str) -> None:
        """Counts a call that the platform did not answer."""
        self.platform_failures[operation] += 1

    def record_missed_change(self) -> None:
        """Counts a change that a watch should have told, but did not."""
        self.missed_changes[_BY_LISTING] += 1

    def expose(self, exporter: metrics.MetricExporter) -> None:
        """Adds the counters to what is exported."""
        exporter.add_counter(
            gauges.SETTINGS_REJECTIONS, lambda: self.rejections
        )
        exporter.add_counter(
            gauges.PLATFORM_FAILURES, lambda: self.platform_failures
        )
        exporter.add_counter(gauges.MISSED_CHANGES, lambda: self.missed_changes)
