"""A client connection that can be reused for several exchanges."""

import abc
import asyncio
from typing import cast, Generic, TypeVar

from kumquatridge.admission import connection_limits
from kumquatridge.transport import errors
from kumquatridge.transport import memory
from kumquatridge.transport import progress
from kumquatridge.transport import write_buffer

AnswerT = TypeVar("AnswerT")

# Keys of exchanges that a connection remembers. An extra answer arrives at the
# latest with the next answer on its connection; further keys are kept for
# servers that delay it longer.
MAX_KEYS = 64


class ClientConnection(asyncio.Protocol, abc.ABC, Generic[AnswerT]):
    """Waits for one answer at a time; any error ends the connection.

    `idle_since_ms` is the time (see `clock`) from which the connection counts
    as idle; 0 before the first answer. `limiter` counts the connection, with
    others of the process.
    """

    def __init__(
        self, limiter: connection_limits.ConnectionLimiter | None = None
    ) -> None:
        self._limiter = limiter or connection_limits.ConnectionLimiter()
        self._output: write_buffer.WriteBuffer | None = None
        self._progress = progress.Progress()
        self._transport: asyncio.Transport | None = None
        self._answer_future: asyncio.Future[AnswerT] | None = None
        # The error that ended the connection.
        self._fault: errors.TransportError | None = None
        # Sends a streamed body.
        self._send_task: asyncio.Task[None] | None = None
        # Cleared while the write buffer of the transport is full.
        self._writable = asyncio.Event()
        self._writable.set()
        # Hashes of the keys of the newest exchanges, oldest first; see
        # `has_carried`. The keys themselves come from clients and may be long.
        self._key_hashes: dict[int, None] = {}
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

    @property
    def _is_sending(self) -> bool:
        """Returns whether the kernel has not taken all of the request yet."""
        if self._send_task is not None and not self._send_task.done():
            return True
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    @property
    @abc.abstractmethod
    def _received_bytes(self) -> int:
        """Returns the memory of the answer that is being received."""

    def get_usage(self) -> connection_limits.Usage:
        """Returns what the connection holds; see `connection_limits`."""
        return connection_limits.Usage(
            self._held_bytes,
            max(self._progress.moved_ms, self.idle_since_ms),
            is_working=self._answer_future is not None
            or not self._is_ready_for_next,
            has_served=True,
        )

    def evict(self) -> None:
        """Closes the connection; its exchange gets no complete answer."""
        self.fail(errors.ConnectionBrokenError("closed for lack of memory"))

    @property
    def _held_bytes(self) -> int:
        unsent_bytes = 0 if self._output is None else self._output.held_bytes
        return memory.CONNECTION_BYTES + self._received_bytes + unsent_bytes

    def _write(self, data: bytes) -> None:
        """Sends bytes; `_writable` is cleared while too many wait."""
        assert self._output is not None
        if self._output.write_short(data):
            return
        self._limiter.update(self, self._held_bytes + len(data))
        if self._fault is None:
            self._output.write(data)

    def _record_received(self, received_bytes: int) -> None:
        self._progress.record(received_bytes)
        self._report_usage()

    def _report_usage(self) -> None:
        """Reports what the connection holds; may close it."""
        self._limiter.update(self, self._held_bytes)

    def has_carried(self, key: str) -> bool:
        """Returns whether an exchange with this key used the connection.

        Two keys with the same hash, which are rare, are taken for one.
        """
        return hash(key) in self._key_hashes

    def record_key(self, key: str) -> None:
        """Remembers that an exchange with this key uses the connection."""
        self._key_hashes[hash(key)] = None
        if len(self._key_hashes) > MAX_KEYS:
            del self._key_hashes[next(iter(self._key_hashes))]

    def _check_open(self) -> None:
        """Checks that bytes can be written.

        Raises:
          ConnectError: the connection has ended; nothing was sent.
        """
        if self._fault is not None or self._transport is None:
            raise errors.ConnectError(str(self._fault or "not connected"))

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
        self._output = write_buffer.WriteBuffer(self._transport)
        self._limiter.add(self)
        self._report_usage()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the exchange in progress with an error."""
        reason = "reset" if exc is not None else "closed by the server"
        self._writable.set()
        self._limiter.remove(self)
        self.fail(errors.ConnectionBrokenError(reason))

    def pause_writing(self) -> None:
        """Pauses the sending of a streamed body."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Resumes the sending of a streamed body."""
        self._writable.set()
