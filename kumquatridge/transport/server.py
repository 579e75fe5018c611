"""Base of the servers: a listener with one task for each connection."""

import abc
import asyncio
import dataclasses
import socket
import types
from typing import cast, Self

from kumquatridge import background
from kumquatridge import clock
from kumquatridge.admission import connection_limits
from kumquatridge.transport import errors
from kumquatridge.transport import incoming_body
from kumquatridge.transport import memory
from kumquatridge.transport import progress
from kumquatridge.transport import write_buffer

# Interval at which the time-outs of all connections are checked.
CHECK_INTERVAL_S = 1.0
# Added to the time-outs of connections: bytes that the client sent before the
# time-out may still be in transit.
CHECK_MARGIN_MS = 1000.0
# Connections that the kernel keeps until they are accepted.
BACKLOG = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerSettings:
    """Limits on the requests and the idle time of connections.

    The defaults are the values that operators usually set; they apply until
    `Listener.set_limits` is called. A connection is closed once it was idle for
    `idle_ms` plus `CHECK_MARGIN_MS`. An HTTP request is rejected if its head is
    incomplete `header_timeout_ms` plus `CHECK_MARGIN_MS` after its first byte.
    After `tcp_user_timeout_ms` without an acknowledgement the kernel ends a
    connection. A body up to `max_buffered_bytes` is received completely before
    the request is handled.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_ms: float = 15_000.0
    tcp_user_timeout_ms: int = 5000
    max_buffered_bytes: int = incoming_body.MAX_BUFFERED_BYTES


class ServerConnection(asyncio.Protocol, abc.ABC):
    """A connection from a client; one task answers its requests in order."""

    def __init__(self, listener: "Listener") -> None:
        self._listener = listener
        # Wakes the task when there is something to handle.
        self._input_arrived = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._last_activity_ms = clock.get_now_ms()
        # Set by `connection_made`.
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self._output: write_buffer.WriteBuffer = cast(
            write_buffer.WriteBuffer, None
        )
        self._progress = progress.Progress()
        # Unsent bytes when the connection was last examined.
        self._unsent_bytes = 0
        self._has_served = False
        # Cleared while the write buffer of the transport is full.
        self.writable = asyncio.Event()
        self.writable.set()
        self.is_answering = False

    @property
    def closes_after_answer(self) -> bool:
        """Returns whether the connection is closed after the next answer."""
        return self._listener.is_draining

    @property
    def is_idle(self) -> bool:
        """Returns whether the connection can be closed without loss.

        There is no request, and all answers were passed to the kernel.
        """
        return not self._has_request and not self._has_unsent_bytes

    @property
    def _has_unsent_bytes(self) -> bool:
        return self.transport.get_write_buffer_size() > 0

    @property
    @abc.abstractmethod
    def _has_request(self) -> bool:
        """Returns whether a request is in progress or partly received."""

    @property
    @abc.abstractmethod
    def answering_bytes(self) -> int:
        """Returns the memory of the request in progress."""

    @property
    @abc.abstractmethod
    def _waiting_bytes(self) -> int:
        """Returns the memory of requests that are incomplete or queued."""

    @property
    @abc.abstractmethod
    def _awaits_body(self) -> bool:
        """Returns whether the request in progress waits for its own body."""

    @abc.abstractmethod
    def _discard_input(self) -> None:
        """Drops requests that are incomplete or queued, and later bytes."""

    @abc.abstractmethod
    async def _serve(self) -> None:
        """Answers requests until the connection ends."""

    @abc.abstractmethod
    def _fail_body(self, fault: errors.BrokenBodyError) -> None:
        """Ends a partly received body, if any, with an error."""

    def get_idle_ms(self, now_ms: float) -> float:
        """Returns the time since the connection was opened or last used."""
        return now_ms - self._last_activity_ms

    def check_timeouts(self, now_ms: float) -> None:
        """Closes a connection that was idle for longer than the limit."""
        limit_ms = self._listener.settings.idle_ms + CHECK_MARGIN_MS
        if self.is_idle and self.get_idle_ms(now_ms) > limit_ms:
            self.finish()

    def finish(self) -> None:
        """Closes the connection after pending writes are flushed.

        No more is read, and what has been read is dropped.
        """
        self._discard_input()
        self.transport.close()

    def write(self, data: bytes) -> None:
        """Sends bytes; `writable` is cleared while too many wait.

        Nothing is sent if the connection was closed, also for lack of memory.
        """
        if self._output.write_short(data):
            return
        self._listener.limiter.update(self, self._held_bytes + len(data))
        if not self.transport.is_closing():
            self._output.write(data)

    def get_usage(self) -> connection_limits.Usage:
        """Returns what the connection holds; see `connection_limits`."""
        self._record_sent_bytes()
        is_client_awaited = (
            self._awaits_body
            or self._has_unsent_bytes
            or self._waiting_bytes > self.answering_bytes
        )
        return connection_limits.Usage(
            self._held_bytes,
            max(self._progress.moved_ms, self._last_activity_ms),
            is_working=self.is_answering and not is_client_awaited,
            has_served=self._has_served,
        )

    def evict(self) -> None:
        """Aborts the connection, which cancels its request.

        What was received is dropped at once: the event loop may receive more on
        other connections before it reports the end of this one.
        """
        self._discard_input()
        self.transport.abort()

    @property
    def _held_bytes(self) -> int:
        return (
            memory.CONNECTION_BYTES
            + self.answering_bytes
            + self._waiting_bytes
            + self._output.held_bytes
        )

    def _record_sent_bytes(self) -> None:
        """Records as progress what the client has read since the last time."""
        unsent_bytes = self.transport.get_write_buffer_size()
        self._progress.record(max(0, self._unsent_bytes - unsent_bytes))
        self._unsent_bytes = unsent_bytes

    def _report_usage(self) -> None:
        """Reports what the connection holds; may abort it."""
        self._listener.limiter.update(self, self._held_bytes)

    def _record_answered(self) -> None:
        """Records the end of the request in progress."""
        self.is_answering = False
        self._has_served = True
        self._last_activity_ms = clock.get_now_ms()

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts its task."""
        self.transport = cast(asyncio.Transport, transport)
        self._output = write_buffer.WriteBuffer(self.transport)
        if not self._listener.limiter.add_accepted(self):
            self.transport.abort()
            return
        self._report_usage()
        raw_socket = transport.get_extra_info("socket")
        raw_socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            self._listener.settings.tcp_user_timeout_ms,
        )
        self._listener.connections.add(self)
        self._task = asyncio.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request in progress, as its client is gone."""
        self._listener.connections.discard(self)
        self._listener.limiter.remove(self)
        self.writable.set()
        self._fail_body(errors.BrokenBodyError("client connection lost"))
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Pauses the sending of a streamed body."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Resumes the sending of a streamed body."""
        self.writable.set()


class Listener(background.BackgroundOwner):
    """Listens on an address while its context is open.

    The task of a connection, and so the request in progress, is cancelled when
    the connection is lost. While `is_draining` is set, each connection is
    closed after its next answer. `limiter` counts the connections, with others
    of the process.
    """

    def __init__(
        self,
        address: str,
        settings: ListenerSettings | None = None,
        limiter: connection_limits.ConnectionLimiter | None = None,
    ) -> None:
        self._address = address
        self.settings = settings or ListenerSettings()
        self.limiter = limiter or connection_limits.ConnectionLimiter()
        self.connections: set[ServerConnection] = set()
        self.is_draining = False
        self._server: asyncio.Server | None = None

    @property
    def is_idle(self) -> bool:
        """Returns whether no connection has a request or unsent bytes."""
        return all(connection.is_idle for connection in self.connections)

    @abc.abstractmethod
    def _make_connection(self) -> ServerConnection:
        """Returns the protocol of a new connection."""

    async def __aenter__(self) -> Self:
        """Starts to listen.

        Raises:
          ListenError: the address is in use, or not one of this instance.
        """
        host, port = self._address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                self._make_connection,
                host,
                int(port),
                backlog=BACKLOG,
                reuse_address=True,
            )
        except OSError as error:
            raise errors.ListenError(
                f"can't listen at {self._address}: {error.strerror}"
            ) from error
        return await super().__aenter__()

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops listening and closes the remaining connections."""
        await super().__aexit__(error_type, error, traceback)
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.finish()

    def set_limits(self, settings: ListenerSettings) -> None:
        """Changes the limits for everything received from now on."""
        self.settings = settings

    def close_idle(self, idle_ms: float = 0.0) -> None:
        """Closes the connections without a request or unsent bytes.

        Those that have been idle for less than `idle_ms` stay open: on a new
        one, the first request may still be in transit.
        """
        now_ms = clock.get_now_ms()
        for connection in tuple(self.connections):
            if connection.is_idle and connection.get_idle_ms(now_ms) >= idle_ms:
                connection.finish()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_ms = clock.get_now_ms()
            for connection in tuple(self.connections):
                connection.check_timeouts(now_ms)
