"""Bytes written to a connection that its peer has not taken."""

import asyncio

# A connection reports no shorter message that it receives or sends whole. Most
# messages are shorter, and a report takes as long as the parsing of one.
SHORT_BYTES = 1024


class WriteBuffer:
    """Writes to a transport and tells how much memory waits to be sent.

    A transport counts the bytes that are left, but keeps each object written
    until its last byte was sent.
    """

    def __init__(self, transport: asyncio.WriteTransport) -> None:
        self._transport = transport
        # Of the objects written since the buffer was empty.
        self._longest_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Returns the memory of what has not been sent, at most."""
        unsent_bytes = self._transport.get_write_buffer_size()
        return unsent_bytes + self._longest_bytes if unsent_bytes else 0

    def write_short(self, data: bytes) -> bool:
        """Writes bytes if they are few and nothing else waits to be sent.

        Returns whether it did.
        """
        if len(data) > SHORT_BYTES or self._transport.get_write_buffer_size():
            return False
        self._longest_bytes = len(data)
        self._transport.write(data)
        return True

    def write(self, data: bytes) -> None:
        """Writes bytes; never blocks."""
        if not self._transport.get_write_buffer_size():
            self._longest_bytes = 0
        self._longest_bytes = max(self._longest_bytes, len(data))
        self._transport.write(data)
