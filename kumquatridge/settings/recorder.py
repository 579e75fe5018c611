"""Where the settings aggregate counts what it decides."""

from typing import Protocol


class SettingsRecorder(Protocol):
    """Counts what happens to settings."""

    def record_applied(self, nodes: int) -> None:
        """Counts nodes of which a newer version was taken."""
        ...

    def record_rejection(self, reason: str) -> None:
        """Counts a record that was not taken and why."""
        ...

    def record_platform_failure(self, operation: str) -> None:
        """Counts a call that the platform did not answer."""
        ...

    def record_missed_change(self) -> None:
        """Counts a change that a watch should have told, but did not."""
        ...
