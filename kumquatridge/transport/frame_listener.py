"""A server for messages of other daemons."""

import asyncio
from collections.abc import Awaitable, Callable

from kumquatridge import clock
from kumquatridge.calls import body as call_body
from kumquatridge.telemetry import events
from kumquatridge.transport import errors
from kumquatridge.transport import frames
from kumquatridge.transport import server

# What the log has in place of a request's target.
TARGET = "call of a daemon"


class FrameResponder:
    """Sends the answer to one message."""

    def __init__(self, owner: "_ServerConnection") -> None:
        self._owner = owner

    async def send(self, head: bytes, body: call_body.Body) -> None:
        """Sends an answer; a streamed body is sent to its end.

        A body that breaks off ends the connection, so that nobody takes the
        answer for whole.

        Raises:
          BrokenBodyError: the body broke off.
        """
        owner = self._owner
        message = frames.Message(head, body, owner.closes_next)
        try:
            await frames.write(owner.transport, owner.writable, message)
        except BaseException:
            owner.transport.abort()
            raise


Handler = Callable[[frames.Message, FrameResponder], Awaitable[None]]


class _ServerConnection(server.ServerConnection):
    """One daemon's connection."""

    def __init__(self, listener: server.Listener, handler: Handler) -> None:
        super().__init__(listener)
        self._handler = handler
        self._reader: frames.Reader | None = None
        self._message: frames.Message | None = None

    @property
    def is_idle(self) -> bool:
        """Tells whether no byte of a message is here."""
        is_between = self._reader is None or self._reader.is_between
        return not self.is_busy and self._message is None and is_between

    async def _serve(self) -> None:
        while not self.transport.is_closing():
            await self._arrived.wait()
            self._arrived.clear()
            message, self._message = self._message, None
            assert message is not None
            self.is_busy = True
            await self._answer(message)
            self.is_busy = False
            self._since_ms = clock.get_now_ms()

    async def _answer(self, message: frames.Message) -> None:
        try:
            await self._handler(message, FrameResponder(self))
        except errors.BrokenBodyError as error:
            events.log(events.AnswerCut(TARGET, str(error)))
        except Exception as error:
            events.log(events.RequestFailed(TARGET, repr(error)))
            self.transport.abort()
        if self.closes_next or not self._has_whole(message):
            self.finish()

    def _has_whole(self, message: frames.Message) -> bool:
        """Tells whether a message's body was read to its end."""
        assert self._reader is not None
        return call_body.is_buffered(message.body) or self._reader.is_between

    def _break_body(self, fault: errors.BrokenBodyError) -> None:
        if self._reader is not None:
            self._reader.fail(fault)

    def _take(self, message: frames.Message) -> None:
        if self.is_busy or self._message is not None:
            raise errors.MalformedAnswerError("a message ahead of its turn")
        self._message = message
        self._arrived.set()

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the connection's task."""
        super().connection_made(transport)
        self._reader = frames.Reader(self.transport, self._take)

    def data_received(self, data: bytes) -> None:
        """Reads frames; what is none ends the connection."""
        assert self._reader is not None
        try:
            self._reader.feed(data)
        except errors.TransportError as error:
            events.log(events.RequestFailed(TARGET, str(error)))
            self._break_body(errors.BrokenBodyError(str(error)))
            self.transport.abort()


class FrameListener(server.Listener):
    """Takes messages of other daemons."""

    def __init__(self, address: str, handler: Handler) -> None:
        super().__init__(address)
        self._handler = handler

    def _make_connection(self) -> _ServerConnection:
        return _ServerConnection(self, self._handler)
