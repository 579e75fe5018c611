"""Base of the servers: a listener with one task for each connection."""

import abc
import asyncio
import dataclasses
import socket
import types
from typing import cast, Self

from kumquatridge import background
from kumquatridge import clock
from kumquatridge.transport import errors

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
    connection.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_ms: float = 15_000.0
    tcp_user_timeout_ms: int = 5000


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
        """Closes the connection after pending writes are flushed."""
        self.transport.close()

    # Callbacks of asyncio.Protocol.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts its task."""
        self.transport = cast(asyncio.Transport, transport)
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
    closed after its next answer.
    """

    def __init__(
        self, address: str, settings: ListenerSettings | None = None
    ) -> None:
        self._address = address
        self.settings = settings or ListenerSettings()
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
