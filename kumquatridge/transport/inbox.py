"""The body of one message as it arrives on a connection."""

import asyncio
from collections.abc import AsyncIterator
from typing import Protocol

from kumquatridge.calls import body as call_body
from kumquatridge.transport import errors

# A message up to this size is read whole before it is passed on, so that a
# broken one is noticed in time; larger than any body of the sample sites.
BUFFERED_BYTES = 512 * 1024
# Bytes of a streamed body that may wait for their reader.
STREAM_WINDOW_BYTES = 64 * 1024


class Flow(Protocol):
    """Where reading can be held up, as at an asyncio transport."""

    def pause_reading(self) -> None:
        """Stops the arrival of bytes."""
        ...

    def resume_reading(self) -> None:
        """Lets bytes arrive again."""
        ...


class BodyInbox:
    """Collects a body; a long one is handed over while it arrives."""

    def __init__(self, flow: Flow) -> None:
        self._flow = flow
        self._chunks: list[bytes] = []
        self._size_bytes = 0
        self._is_streamed = False
        self._is_paused = False
        self._fault: errors.TransportError | None = None
        self._changed: asyncio.Event | None = None
        self.is_complete = False

    @property
    def is_ready(self) -> bool:
        """Tells whether the body can be handed over, whole or as a stream."""
        return self.is_complete or self._size_bytes > BUFFERED_BYTES

    def add(self, data: bytes) -> None:
        """Takes bytes that arrived."""
        self._chunks.append(data)
        self._size_bytes += len(data)
        if self._is_streamed and self._size_bytes > STREAM_WINDOW_BYTES:
            self._pause()
        self._wake()

    def complete(self) -> None:
        """Takes note that the whole body is here."""
        self.is_complete = True
        self._wake()

    def fail(self, fault: errors.TransportError) -> None:
        """Takes note that the rest will never come."""
        if not self.is_complete:
            self._fault = fault
            self._wake()

    def hand_over(self, length_bytes: int | None) -> call_body.Body:
        """Returns the body; a stream when more is still to come."""
        if self.is_complete:
            data = b"".join(self._chunks)
            self._chunks.clear()
            return call_body.BufferedBody(data)
        self._is_streamed = True
        self._pause()
        return call_body.StreamedBody(
            length_bytes, call_body.SinglePassStream(self._iterate())
        )

    async def _iterate(self) -> AsyncIterator[bytes]:
        while True:
            while self._chunks:
                chunks, self._chunks = self._chunks, []
                self._size_bytes = 0
                yield b"".join(chunks)
            if self.is_complete:
                self._resume()
                return
            if self._fault is not None:
                raise self._fault
            self._changed = asyncio.Event()
            self._resume()
            await self._changed.wait()

    def _wake(self) -> None:
        if self._changed is not None:
            self._changed.set()

    def _pause(self) -> None:
        if not self._is_paused:
            self._is_paused = True
            self._flow.pause_reading()

    def _resume(self) -> None:
        if self._is_paused:
            self._is_paused = False
            self._flow.resume_reading()
