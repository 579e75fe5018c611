"""When a connection last moved a substantial number of bytes."""

from kumquatridge import clock

# Fewer bytes are no progress: a client could keep its connection by sending or
# reading a byte from time to time.
STEP_BYTES = 4096


class Progress:
    """Records the bytes that a connection moves; `moved_ms` is on the clock."""

    def __init__(self) -> None:
        self.moved_ms = clock.get_now_ms()
        self._pending_bytes = 0

    def record(self, moved_bytes: int) -> None:
        """Records bytes received or sent."""
        self._pending_bytes += moved_bytes
        if self._pending_bytes >= STEP_BYTES:
            self._pending_bytes = 0
            self.moved_ms = clock.get_now_ms()
