"""A transport whose bytes are fed by the test."""

import asyncio


class NoSocket:
    """A socket without options."""

    def setsockopt(self, *args: object) -> None:
        """Does nothing."""


class PausableTransport(asyncio.Transport):
    """Records whether reading is paused; drops what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.is_paused = False
        self.is_closed = False
        self.unsent_bytes = 0

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Returns a socket that takes all options."""
        return NoSocket()

    def pause_reading(self) -> None:
        """Records that reading is paused."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Records that reading goes on."""
        self.is_paused = False

    def abort(self) -> None:
        """Records that the connection is closed."""
        self.is_closed = True

    def close(self) -> None:
        """Records that the connection is closed."""
        self.is_closed = True

    def is_closing(self) -> bool:
        """Returns whether the connection is closed."""
        return self.is_closed

    def get_write_buffer_size(self) -> int:
        """Returns what the test says, 0 at first."""
        return self.unsent_bytes

    def write(self, data: object) -> None:
        """Drops the bytes."""
