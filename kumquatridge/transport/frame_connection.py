"""One connection to another daemon, with one message in progress at a time."""

import asyncio

from kumquatridge import clock
from kumquatridge.calls import body as call_body
from kumquatridge.transport import errors
from kumquatridge.transport import frames
from kumquatridge.transport import kept


class FrameConnection(kept.KeptConnection[frames.Message]):
    """Sends messages one after the other and reads their answers."""

    def __init__(self) -> None:
        super().__init__()
        self._reader: frames.Reader | None = None
        self._owes_answer = False
        self._keeps_alive = True

    @property
    def _is_settled(self) -> bool:
        return (
            self._keeps_alive
            and not self._owes_answer
            and self._reader is not None
            and self._reader.is_between
        )

    async def send(
        self, message: frames.Message, timeout_s: float
    ) -> frames.Message:
        """Sends a message and waits for its answer.

        Raises:
          TransportError: no answer came.
        """
        transport = self._get_transport()
        self._expect()
        self._owes_answer = True
        match message.body:
            case call_body.BufferedBody():
                await frames.write(transport, self._writable, message)
            case call_body.StreamedBody():
                self._sending = asyncio.create_task(
                    self._send_stream(transport, message)
                )
        return await self._wait(timeout_s)

    async def _send_stream(
        self, transport: asyncio.Transport, message: frames.Message
    ) -> None:
        try:
            await frames.write(transport, self._writable, message)
        except errors.TransportError as error:
            self.fail(errors.ConnectionBrokenError(f"body: {error}"))

    def _break_body(self, fault: errors.BrokenBodyError) -> None:
        if self._reader is not None:
            self._reader.fail(fault)

    def _take(self, answer: frames.Message) -> None:
        if not self._owes_answer:
            raise errors.MalformedAnswerError("an answer to no message")
        self._owes_answer = False
        self._keeps_alive = not answer.is_last
        self.idle_since_ms = clock.get_now_ms()
        self._deliver(answer)

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open transport."""
        super().connection_made(transport)
        self._reader = frames.Reader(self._get_transport(), self._take)

    def data_received(self, data: bytes) -> None:
        """Reads frames; those that nobody waits for spoil the connection."""
        assert self._reader is not None
        try:
            self._reader.feed(data)
        except errors.TransportError as error:
            self.fail(error)
