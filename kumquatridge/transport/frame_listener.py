"""A server for framed messages from other daemons."""

import asyncio
from collections.abc import Awaitable, Callable

from kumquatridge.admission import connection_limits
from kumquatridge.calls import body as call_body
from kumquatridge.telemetry import events
from kumquatridge.transport import errors
from kumquatridge.transport import frames
from kumquatridge.transport import server
from kumquatridge.transport import write_buffer

# Logged as `target`, where events of the HTTP listener have the request target.
LOG_TARGET = "call of a daemon"


class FrameResponder:
    """Sends the answer to one message."""

    def __init__(self, connection: "_ServerConnection") -> None:
        self._connection = connection

    @property
    def request_bytes(self) -> int:
        """Returns the memory of the message, with its head and body."""
        return self._connection.answering_bytes

    @property
    def is_request_small(self) -> bool:
        """Returns whether the message needn't ask for memory."""
        return self.request_bytes <= connection_limits.SMALL_REQUEST_BYTES

    async def send(self, head: bytes, body: call_body.Body) -> None:
        """Sends an answer; returns once a streamed body is written to its end.

        If the body fails, the connection is aborted, so that the client
        doesn't take the answer for complete.

        Raises:
          BrokenBodyError: the source of the body failed.
        """
        connection = self._connection
        message = frames.Message(head, body, connection.closes_after_answer)
        try:
            await frames.write(connection.write, connection.writable, message)
        except BaseException:
            connection.transport.abort()
            raise


Handler = Callable[[frames.Message, FrameResponder], Awaitable[None]]


class _ServerConnection(server.ServerConnection):
    """A connection from another daemon."""

    def __init__(self, listener: server.Listener, handler: Handler) -> None:
        super().__init__(listener)
        self._handler = handler
        self._reader: frames.FrameReader | None = None
        # A received message that the task has not taken yet.
        self._message: frames.Message | None = None
        # Memory of that message, and of the one in progress.
        self._message_bytes = 0
        self._answering_bytes = 0

    @property
    def answering_bytes(self) -> int:
        """Returns the memory of the message in progress."""
        return self._answering_bytes

    @property
    def _waiting_bytes(self) -> int:
        reader_bytes = 0 if self._reader is None else self._reader.held_bytes
        return self._message_bytes + reader_bytes

    @property
    def _awaits_body(self) -> bool:
        return self._reader is not None and self._reader.awaits_sender

    @property
    def _has_request(self) -> bool:
        """Returns whether a message is in progress or partly received."""
        is_at_boundary = self._reader is None or self._reader.is_at_boundary
        return (
            self.is_answering or self._message is not None or not is_at_boundary
        )

    async def _serve(self) -> None:
        while not self.transport.is_closing():
            await self._input_arrived.wait()
            self._input_arrived.clear()
            message, self._message = self._message, None
            assert message is not None
            self.is_answering = True
            self._answering_bytes, self._message_bytes = self._message_bytes, 0
            await self._answer(message)
            self._answering_bytes = 0
            self._record_answered()

    async def _answer(self, message: frames.Message) -> None:
        try:
            await self._handler(message, FrameResponder(self))
        except errors.BrokenBodyError as error:
            events.log(events.AnswerCut(LOG_TARGET, str(error)))
        except Exception as error:
            events.log(events.RequestFailed(LOG_TARGET, repr(error)))
            self.transport.abort()
        if self.closes_after_answer or not self._has_complete_body(message):
            self.finish()

    def _has_complete_body(self, message: frames.Message) -> bool:
        """Returns whether the body of a message was received completely."""
        assert self._reader is not None
        return (
            call_body.is_buffered(message.body) or self._reader.is_at_boundary
        )

    def _discard_input(self) -> None:
        self._message = None
        if self._reader is not None:
            self._reader.fail(errors.BrokenBodyError("closed"))
            self._reader.discard()

    def _fail_body(self, fault: errors.BrokenBodyError) -> None:
        if self._reader is not None:
            self._reader.fail(fault)

    def _handle_message(self, message: frames.Message) -> None:
        if self.is_answering or self._message is not None:
            raise errors.ProtocolError(
                "a message arrived before the answer to the previous one"
            )
        self._message = message
        self._message_bytes = frames.get_held_bytes(message)
        self._input_arrived.set()

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the task of the connection and its frame parser."""
        super().connection_made(transport)
        self._reader = frames.FrameReader(self.transport, self._handle_message)

    def data_received(self, data: bytes) -> None:
        """Parses frames; aborts the connection if they are malformed."""
        assert self._reader is not None
        try:
            self._reader.feed(data)
        except errors.TransportError as error:
            events.log(events.RequestFailed(LOG_TARGET, str(error)))
            self._fail_body(errors.BrokenBodyError(str(error)))
            self.transport.abort()
        if len(data) > write_buffer.SHORT_BYTES or not (
            self._reader.is_at_boundary
        ):
            self._progress.record(len(data))
            self._report_usage()


class FrameListener(server.Listener):
    """Listens for framed messages from other daemons."""

    def __init__(
        self,
        address: str,
        handler: Handler,
        limiter: connection_limits.ConnectionLimiter | None = None,
    ) -> None:
        super().__init__(address, limiter=limiter)
        self._handler = handler

    def _make_connection(self) -> _ServerConnection:
        return _ServerConnection(self, self._handler)
