"""A connection to a server that is kept between uses."""

import abc
import asyncio
from typing import cast, Generic, TypeVar

from kumquatridge.transport import errors

AnswerT = TypeVar("AnswerT")


class KeptConnection(asyncio.Protocol, abc.ABC, Generic[AnswerT]):
    """Awaits one answer at a time; any fault ends the connection.

    `idle_since_ms` is the end of its last use, on the event loop's clock.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._awaited: asyncio.Future[AnswerT] | None = None
        self._fault: errors.TransportError | None = None
        self._sending: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self.idle_since_ms = 0.0

    @property
    def is_reusable(self) -> bool:
        """Tells whether it may be used again."""
        return (
            self._fault is None
            and self._awaited is None
            and self._transport is not None
            and not self._transport.is_closing()
            and (self._sending is None or self._sending.done())
            and self._is_settled
        )

    @property
    @abc.abstractmethod
    def _is_settled(self) -> bool:
        """Tells whether nothing is outstanding and the server stays."""

    def _get_transport(self) -> asyncio.Transport:
        """Returns what to write to.

        Raises:
          ConnectError: the connection has ended, so that nothing is sent.
        """
        if self._fault is not None or self._transport is None:
            raise errors.ConnectError(str(self._fault or "not connected"))
        return self._transport

    def _expect(self) -> None:
        """Takes note that an answer is awaited, before anything is sent."""
        self._awaited = asyncio.get_running_loop().create_future()

    async def _wait(self, timeout_s: float) -> AnswerT:
        """Waits for the answer.

        Raises:
          TransportError: no answer came.
        """
        assert self._awaited is not None
        loop = asyncio.get_running_loop()
        timer = loop.call_later(timeout_s, self._expire)
        try:
            return await self._awaited
        finally:
            timer.cancel()
            self._awaited = None

    def _deliver(self, answer: AnswerT) -> None:
        """Wakes whoever waits for the answer."""
        if self._awaited is not None and not self._awaited.done():
            self._awaited.set_result(answer)

    def fail(self, fault: errors.TransportError) -> None:
        """Gives the connection up."""
        if self._fault is None:
            self._fault = fault
        if self._sending is not None:
            self._sending.cancel()
        if self._transport is not None:
            self._transport.abort()
        self._break_body(errors.BrokenBodyError(str(fault) or "cut off"))
        if self._awaited is not None and not self._awaited.done():
            self._awaited.set_exception(fault)

    @abc.abstractmethod
    def _break_body(self, fault: errors.BrokenBodyError) -> None:
        """Breaks off the body that is being read, if any."""

    def _expire(self) -> None:
        self.fail(errors.AnswerTimeoutError("no answer in time"))

    def close(self) -> None:
        """Closes the connection, which cancels what is in progress."""
        self.fail(errors.ConnectionBrokenError("closed"))

    # What asyncio calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the open transport."""
        self._transport = cast(asyncio.Transport, transport)

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
