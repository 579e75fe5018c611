"""Where membership counts what it did."""

from typing import Protocol


class Recorder(Protocol):
    """Counts failures of control messages and verdicts on members."""

    def record_peer_failure(self, reason: str) -> None:
        """Counts a control message that came to nothing, by reason."""
        ...

    def record_verdict(self, verdict: str) -> None:
        """Counts a suspicion, death or refutation."""
        ...

    def record_control_bytes(self, direction: str, size_bytes: int) -> None:
        """Counts the bytes of control messages, `sent` or `received`."""
        ...


class NoRecorder:
    """Counts nothing."""

    def record_peer_failure(self, reason: str) -> None:
        """Drops the count."""

    def record_verdict(self, verdict: str) -> None:
        """Drops the count."""

    def record_control_bytes(self, direction: str, size_bytes: int) -> None:
        """Drops the count."""
