"""A server for messages of other daemons, one task for each connection."""

import asyncio
from collections.abc import Awaitable, Callable
import socket
import types
from typing import cast, Self

from kumquatridge import background
from kumquatridge import clock
from kumquatridge.calls import body as call_body
from kumquatridge.telemetry import events
from kumquatridge.transport import errors
from kumquatridge.transport import frames
from kumquatridge.transport import listener


class FrameResponder:
    """Sends the answer to one message."""

    def __init__(self, owner: "_ServerConnection") -> None:
        self._owner = owner
        self.is_answered = False

    async def send(self, head: bytes, body: call_body.Body) -> None:
        """Sends an answer; a streamed body is sent to its end.

        A body that breaks off ends the connection, so that nobody takes the
        answer for whole.

        Raises:
          BrokenBodyError: the body broke off.
        """
        self.is_answered = True
        owner = self._owner
        message = frames.Message(head, body, owner.closes_next)
        try:
            await frames.write(owner.transport, owner.writable, message)
        except BaseException:
            owner.transport.abort()
            raise


Handler = Callable[[frames.Message, FrameResponder], Awaitable[None]]


class _ServerConnection(asyncio.Protocol):
    """One daemon's connection, answered by one task."""

    def __init__(self, owner: "FrameListener") -> None:
        self._listener = owner
        self._reader: frames.Reader | None = None
        self._message: frames.Message | None = None
        self._arrived = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._since_ms = clock.get_now_ms()
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.writable = asyncio.Event()
        self.writable.set()
        self.is_busy = False

    @property
    def closes_next(self) -> bool:
        """Tells whether the connection ends after the next answer."""
        return self._listener.is_draining

    @property
    def is_idle(self) -> bool:
        """Tells whether no byte of a message is here."""
        is_between = self._reader is None or self._reader.is_between
        return not self.is_busy and self._message is None and is_between

    def check_idle(self, now_ms: float) -> None:
        """Closes a connection that was not used for long."""
        idled_ms = now_ms - self._since_ms
        if self.is_idle and idled_ms > self._listener.settings.idle_ms:
            self.transport.close()

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
        responder = FrameResponder(self)
        try:
            await self._listener.handler(message, responder)
        except errors.BrokenBodyError as error:
            events.log(events.AnswerCut("call of a daemon", str(error)))
        except Exception as error:
            events.log(events.RequestFailed("call of a daemon", repr(error)))
            self.transport.abort()
        if self.closes_next or not self._has_whole(message):
            self.transport.close()

    def _has_whole(self, message: frames.Message) -> bool:
        """Tells whether a message's body was read to its end."""
        assert self._reader is not None
        return call_body.is_buffered(message.body) or self._reader.is_between

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the connection's task."""
        self.transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        raw.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            self._listener.settings.unacknowledged_ms,
        )
        self._reader = frames.Reader(self.transport, self._take)
        self._listener.connections.add(self)
        self._task = asyncio.create_task(self._serve())

    def data_received(self, data: bytes) -> None:
        """Reads frames; what is none ends the connection."""
        assert self._reader is not None
        try:
            self._reader.feed(data)
        except errors.TransportError as error:
            events.log(events.RequestFailed("call of a daemon", str(error)))
            self._reader.fail(str(error))
            self.transport.abort()

    def _take(self, message: frames.Message) -> None:
        if self.is_busy or self._message is not None:
            raise errors.MalformedAnswerError("a message ahead of its turn")
        self._message = message
        self._arrived.set()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels what the sender no longer waits for."""
        self._listener.connections.discard(self)
        self.writable.set()
        if self._reader is not None:
            self._reader.fail("the sender left")
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Holds up a streamed body."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Lets a streamed body go on."""
        self.writable.set()


class FrameListener(background.BackgroundOwner):
    """Listens on an address while its context is open.

    A handler is cancelled when its connection is lost.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        settings: listener.ListenerSettings | None = None,
    ) -> None:
        self._address = address
        self.handler = handler
        self.settings = settings or listener.ListenerSettings()
        self.connections: set[_ServerConnection] = set()
        self.is_draining = False
        self._server: asyncio.Server | None = None

    @property
    def is_idle(self) -> bool:
        """Tells whether no message is in progress."""
        return all(one.is_idle for one in self.connections)

    async def __aenter__(self) -> Self:
        """Starts to listen.

        Raises:
          ListenError: the address is taken, or not this instance's.
        """
        self._server = await listener.open_server(
            self._address, lambda: _ServerConnection(self)
        )
        return await super().__aenter__()

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops listening and closes what connections are left."""
        await super().__aexit__(error_type, error, traceback)
        if self._server is not None:
            self._server.close()
        for one in tuple(self.connections):
            one.transport.close()

    def set_limits(self, settings: listener.ListenerSettings) -> None:
        """Takes other bounds, for what arrives from now on."""
        self.settings = settings

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(listener.CHECK_INTERVAL_S)
            now_ms = clock.get_now_ms()
            for one in tuple(self.connections):
                one.check_idle(now_ms)
