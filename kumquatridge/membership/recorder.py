"""Counters of membership events."""

from typing import Protocol


class Recorder(Protocol):
    """Counts failed control messages and decisions about members."""

    def record_peer_failure(self, reason: str) -> None:
        """Counts a failed control message, by reason."""
        ...

    def record_decision(self, decision: str) -> None:
        """Counts a decision: `suspected`, `died`, `left` or `refuted`."""
        ...

    def record_control_bytes(self, direction: str, size_bytes: int) -> None:
        """Counts bytes of control messages; direction `sent` or `received`."""
        ...


class NoRecorder:
    """A recorder that discards everything."""

    def record_peer_failure(self, reason: str) -> None:
        """Does nothing."""

    def record_decision(self, decision: str) -> None:
        """Does nothing."""

    def record_control_bytes(self, direction: str, size_bytes: int) -> None:
        """Does nothing."""
