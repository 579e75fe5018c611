"""A client connection that can be reused for several exchanges."""

import abc
import asyncio
from typing import cast, Generic, TypeVar

from kumquatridge.transport import errors

AnswerT = TypeVar("AnswerT")

# Keys of exchanges that a connection remembers. An extra answer arrives at the
# latest with the next answer on its connection; further keys are kept for
# servers that delay it longer.
MAX_KEYS = 64


class ClientConnection(asyncio.Protocol, abc.ABC, Generic[AnswerT]):
    """Waits for one answer at a time; any error ends the connection.

    `idle_since_ms` is the time (see `clock`) from which the connection counts
    as idle; 0 before the first answer.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._answer_future: asyncio.Future[AnswerT] | None = None
        # The error that ended the connection.
        self._fault: errors.TransportError | None = None
        # Sends a streamed body.
        self._send_task: asyncio.Task[None] | None = None
        # Cleared while the write buffer of the transport is full.
        self._writable = asyncio.Event()
        self._writable.set()
        # The newest exchanges, oldest first; see `has_carried`.
        self._keys: dict[str, None] = {}
        self.idle_since_ms = 0.0

    @property
    def is_reusable(self) -> bool:
        """Returns whether another exchange may use the connection."""
        return (
            self._fault is None
            and self._answer_future is None
            and self._transport is not None
            and not self._transport.is_closing()
            and (self._send_task is None or self._send_task.done())
            and self._is_ready_for_next
        )

    @property
    @abc.abstractmethod
    def _is_ready_for_next(self) -> bool:
        """Returns whether the protocol allows another exchange.

        No answer is due, and the server keeps the connection open.
        """

    def has_carried(self, key: str) -> bool:
        """Returns whether an exchange with this key used the connection."""
        return key in self._keys

    def record_key(self, key: str) -> None:
        """Remembers that an exchange with this key uses the connection."""
        self._keys[key] = None
        if len(self._keys) > MAX_KEYS:
            del self._keys[next(iter(self._keys))]

    def _get_transport(self) -> asyncio.Transport:
        """Returns the transport to write to.

        Raises:
          ConnectError: the connection has ended; nothing was sent.
        """
        if self._fault is not None or self._transport is None:
            raise errors.ConnectError(str(self._fault or "not connected"))
        return self._transport

    def _expect_answer(self) -> None:
        """Creates the future of the answer, before anything is sent."""
        self._answer_future = asyncio.get_running_loop().create_future()

    async def _wait_for_answer(self, timeout_s: float) -> AnswerT:
        """Waits for the answer.

        Raises:
          TransportError: no answer was received.
        """
        assert self._answer_future is not None
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_s, self._time_out)
        try:
            return await self._answer_future
        finally:
            timer.cancel()
            self._answer_future = None

    def _deliver(self, answer: AnswerT) -> None:
        """Resolves the future of the answer."""
        if self._answer_future is not None and not self._answer_future.done():
            self._answer_future.set_result(answer)

    def fail(self, fault: errors.TransportError) -> None:
        """Aborts the connection and ends the exchange with an error."""
        if self._fault is None:
            self._fault = fault
        if self._send_task is not None:
            self._send_task.cancel()
        if self._transport is not None:
            self._transport.abort()
        self._fail_body(errors.BrokenBodyError(str(fault) or "cut off"))
        if self._answer_future is not None and not self._answer_future.done():
            self._answer_future.set_exception(fault)

    @abc.abstractmethod
    def _fail_body(self, fault: errors.BrokenBodyError) -> None:
        """Ends a partly received body, if any, with an error."""

    def _time_out(self) -> None:
        self.fail(errors.AnswerTimeoutError("no answer in time"))

    def close(self) -> None:
        """Closes the connection, which cancels the exchange in progress."""
        self.fail(errors.ConnectionBrokenError("closed"))

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the exchange in progress with an error."""
        reason = "reset" if exc is not None else "closed by the server"
        self._writable.set()
        self.fail(errors.ConnectionBrokenError(reason))

    def pause_writing(self) -> None:
        """Pauses the sending of a streamed body."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resumes the sending of a streamed body."""
        self._writable.set()
