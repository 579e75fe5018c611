"""One connection to another daemon, with one message in progress at a time."""

import asyncio
from typing import cast

from kumquatridge import clock
from kumquatridge.calls import body as call_body
from kumquatridge.transport import errors
from kumquatridge.transport import frames
from kumquatridge.transport import kept


class FrameConnection(kept.KeptConnection):
    """Sends messages one after the other and reads their answers."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._reader: frames.Reader | None = None
        self._awaited: asyncio.Future[frames.Message] | None = None
        self._fault: errors.TransportError | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._sending: asyncio.Task[None] | None = None
        self._owes_answer = False
        self._keeps_alive = True
        self.idle_since_ms = 0.0

    @property
    def is_reusable(self) -> bool:
        """Tells whether another message may be sent."""
        return (
            self._fault is None
            and self._keeps_alive
            and not self._owes_answer
            and self._transport is not None
            and not self._transport.is_closing()
            and self._reader is not None
            and self._reader.is_between
            and (self._sending is None or self._sending.done())
        )

    async def send(
        self, message: frames.Message, timeout_s: float
    ) -> frames.Message:
        """Sends a message and waits for its answer.

        Raises:
          TransportError: no answer came.
        """
        transport = self._transport
        if self._fault is not None or transport is None:
            raise self._fault or errors.ConnectError("not connected")
        loop = asyncio.get_running_loop()
        self._awaited = loop.create_future()
        self._owes_answer = True
        match message.body:
            case call_body.BufferedBody():
                frames.write_whole(transport, message)
            case call_body.StreamedBody():
                self._sending = asyncio.create_task(
                    self._send_stream(transport, message)
                )
        timer = loop.call_later(timeout_s, self._expire)
        try:
            return await self._awaited
        finally:
            timer.cancel()
            self._awaited = None

    async def _send_stream(
        self, transport: asyncio.Transport, message: frames.Message
    ) -> None:
        try:
            await frames.write(transport, self._writable, message)
        except errors.TransportError as error:
            self.fail(errors.ConnectionBrokenError(f"body: {error}"))

    def _expire(self) -> None:
        self.fail(errors.AnswerTimeoutError("no answer in time"))

    def fail(self, fault: errors.TransportError) -> None:
        """Gives the connection up."""
        if self._fault is None:
            self._fault = fault
        if self._sending is not None:
            self._sending.cancel()
        if self._transport is not None:
            self._transport.abort()
        if self._reader is not None:
            self._reader.fail(str(fault) or "cut off")
        if self._awaited is not None and not self._awaited.done():
            self._awaited.set_exception(fault)

    def close(self) -> None:
        """Closes the connection, which cancels what is in progress."""
        self.fail(errors.ConnectionBrokenError("closed"))

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open transport."""
        self._transport = cast(asyncio.Transport, transport)
        self._reader = frames.Reader(self._transport, self._take)

    def data_received(self, data: bytes) -> None:
        """Reads frames; those that nobody waits for spoil the connection."""
        assert self._reader is not None
        try:
            self._reader.feed(data)
        except errors.TransportError as error:
            self.fail(error)

    def _take(self, answer: frames.Message) -> None:
        if not self._owes_answer:
            raise errors.MalformedAnswerError("an answer to no message")
        self._owes_answer = False
        self._keeps_alive = not answer.is_last
        self.idle_since_ms = clock.get_now_ms()
        if self._awaited is not None and not self._awaited.done():
            self._awaited.set_result(answer)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails what is in progress."""
        reason = "reset" if exc is not None else "closed by the server"
        self._writable.set()
        self.fail(errors.ConnectionBrokenError(reason))

    def pause_writing(self) -> None:
        """Holds up a streamed body."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Lets a streamed body go on."""
        self._writable.set()
