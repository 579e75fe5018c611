"""A client connection to another daemon, with one message at a time."""

import asyncio
from typing import cast

from kumquatridge import clock
from kumquatridge.admission import connection_limits
from kumquatridge.calls import body as call_body
from kumquatridge.transport import client_connection
from kumquatridge.transport import errors
from kumquatridge.transport import frames
from kumquatridge.transport import write_buffer


class FrameConnection(client_connection.ClientConnection[frames.Message]):
    """Sends messages one after the other and reads their answers."""

    def __init__(
        self, limiter: connection_limits.ConnectionLimiter | None = None
    ) -> None:
        super().__init__(limiter)
        self._reader: frames.FrameReader | None = None
        self._is_answer_due = False
        self._keeps_alive = True

    @property
    def _is_ready_for_next(self) -> bool:
        return (
            self._keeps_alive
            and not self._is_answer_due
            and self._reader is not None
            and self._reader.is_at_boundary
        )

    async def send(
        self, message: frames.Message, timeout_s: float
    ) -> frames.Message:
        """Sends a message and waits for its answer.

        Raises:
          ConnectError: the connection had ended; nothing was sent.
          TransportError: no answer was received.
        """
        self._check_open()
        self._expect_answer()
        self._is_answer_due = True
        match message.body:
            case call_body.BufferedBody():
                await frames.write(self._write, self._writable, message)
            case call_body.StreamedBody():
                self._send_task = asyncio.create_task(
                    self._send_stream(message)
                )
        return await self._wait_for_answer(timeout_s)

    async def _send_stream(self, message: frames.Message) -> None:
        try:
            await frames.write(self._write, self._writable, message)
        except errors.TransportError as error:
            self.fail(errors.ConnectionBrokenError(f"body: {error}"))

    @property
    def _received_bytes(self) -> int:
        return 0 if self._reader is None else self._reader.held_bytes

    def _fail_body(self, fault: errors.BrokenBodyError) -> None:
        if self._reader is not None:
            self._reader.fail(fault)

    def _handle_answer(self, answer: frames.Message) -> None:
        if not self._is_answer_due:
            raise errors.ProtocolError("an answer to no message")
        self._is_answer_due = False
        self._keeps_alive = not answer.is_last
        self.idle_since_ms = clock.get_now_ms()
        self._deliver(answer)

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and starts to parse frames."""
        super().connection_made(transport)
        self._reader = frames.FrameReader(
            cast(asyncio.Transport, transport), self._handle_answer
        )

    def data_received(self, data: bytes) -> None:
        """Parses frames; ends the connection if one is unexpected."""
        assert self._reader is not None
        try:
            self._reader.feed(data)
        except errors.TransportError as error:
            self.fail(error)
        if len(data) > write_buffer.SHORT_BYTES or not (
            self._reader.is_at_boundary
        ):
            self._record_received(len(data))
