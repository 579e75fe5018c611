"""The body of a message while it is received on a connection."""

import asyncio
from collections.abc import AsyncIterator
from typing import Protocol

from kumquatridge.calls import body as call_body
from kumquatridge.transport import errors
from kumquatridge.transport import memory

# A body up to this size is buffered completely before it is passed on, so that
# a truncated one is noticed before anything was forwarded. No body in the
# sample deployments is larger.
MAX_BUFFERED_BYTES = 512 * 1024
# Bytes of a streamed body that are buffered before reading is paused.
STREAM_WINDOW_BYTES = 64 * 1024


class FlowControl(Protocol):
    """Pauses and resumes reading, as an asyncio transport does."""

    def pause_reading(self) -> None:
        """Stops reading from the connection."""
        ...

    def resume_reading(self) -> None:
        """Continues to read from the connection."""
        ...


class IncomingBody:
    """Collects a body; a long one is passed on while it is received.

    A body is long if it exceeds `max_buffered_bytes`. Reading then pauses until
    its reader asks for more, also while it has no reader yet.
    """

    def __init__(
        self,
        flow_control: FlowControl,
        max_buffered_bytes: int = MAX_BUFFERED_BYTES,
    ) -> None:
        self._flow_control = flow_control
        self._max_buffered_bytes = max_buffered_bytes
        # In one buffer: a sender may divide its body into many tiny parts.
        self._data = bytearray()
        self._is_streamed = False
        self._is_paused = False
        self._fault: errors.TransportError | None = None
        # Set when bytes, the end or an error arrive; replaced for each wait.
        self._changed: asyncio.Event | None = None
        self.is_complete = False

    @property
    def is_ready(self) -> bool:
        """Returns whether the body can be passed on, buffered or streamed."""
        return self.is_complete or len(self._data) > self._max_buffered_bytes

    @property
    def held_bytes(self) -> int:
        """Returns the bytes that are kept here and by the kernel."""
        kernel_bytes = memory.PAUSED_BYTES if self._is_paused else 0
        return self._data.__alloc__() + kernel_bytes

    @property
    def awaits_sender(self) -> bool:
        """Returns whether the reader of a streamed body waits for bytes."""
        return self._is_streamed and not self.is_complete and not self._data

    def add(self, data: bytes) -> None:
        """Adds received bytes."""
        self._data += data
        limit_bytes = (
            STREAM_WINDOW_BYTES
            if self._is_streamed
            else self._max_buffered_bytes
        )
        if len(self._data) > limit_bytes:
            self._pause()
        self._notify()

    def complete(self) -> None:
        """Marks the body as complete; further messages may be received."""
        self.is_complete = True
        self._resume()
        self._notify()

    def fail(self, fault: errors.TransportError) -> None:
        """Ends an incomplete body with an error for its reader."""
        if not self.is_complete:
            self._fault = fault
            self._notify()

    def discard(self) -> None:
        """Drops the bytes that are kept; the body can't be read any more."""
        self._data = bytearray()

    def make_body(self, length_bytes: int | None) -> call_body.Body:
        """Returns the body, streamed unless it is complete."""
        if self.is_complete:
            return call_body.BufferedBody(self._take())
        self._is_streamed = True
        self._pause()
        return call_body.StreamedBody(
            length_bytes, call_body.SinglePassStream(self._iterate())
        )

    async def _iterate(self) -> AsyncIterator[bytes]:
        while True:
            while self._data:
                yield self._take()
            if self.is_complete:
                return
            if self._fault is not None:
                raise self._fault
            self._changed = asyncio.Event()
            self._resume()
            await self._changed.wait()

    def _take(self) -> bytes:
        """Removes the buffered bytes and returns them."""
        data = bytes(self._data)
        self._data.clear()
        return data

    def _notify(self) -> None:
        if self._changed is not None:
            self._changed.set()

    def _pause(self) -> None:
        if not self._is_paused:
            self._is_paused = True
            self._flow_control.pause_reading()

    def _resume(self) -> None:
        if self._is_paused:
            self._is_paused = False
            self._flow_control.resume_reading()
