"""Interface through which the settings aggregate counts events."""

from typing import Protocol


class SettingsRecorder(Protocol):
    """Counts events of the settings aggregate."""

    def record_applied(self, node_count: int) -> None:
        """Counts nodes of which a newer version was applied."""
        ...

    def record_rejection(self, reason: str) -> None:
        """Counts a rejected record by reason."""
        ...

    def record_platform_failure(self, operation: str) -> None:
        """Counts a platform call that was not answered, by operation."""
        ...

    def record_missed_change(self) -> None:
        """Counts a change that a watch should have delivered, but did not."""
        ...
