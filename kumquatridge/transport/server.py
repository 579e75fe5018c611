"""What servers have in common: an address, and a task for each connection."""

import abc
import asyncio
import dataclasses
import socket
import types
from typing import cast, Self

from kumquatridge import background
from kumquatridge import clock
from kumquatridge.transport import errors

CHECK_INTERVAL_S = 1.0
# What is a little late may still be on its way.
CHECK_MARGIN_MS = 1000.0
BACKLOG = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerSettings:
    """What clients may send, and how long connections may stay idle.

    The defaults are those that operators commonly use. A connection idle for
    `idle_ms` plus a second is closed.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_ms: float = 15_000.0
    unacknowledged_ms: int = 5000


class ServerConnection(asyncio.Protocol, abc.ABC):
    """One client's connection, answered in order by one task."""

    def __init__(self, listener: "Listener") -> None:
        self._listener = listener
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
    @abc.abstractmethod
    def is_idle(self) -> bool:
        """Tells whether nothing of a request is here."""

    @abc.abstractmethod
    async def _serve(self) -> None:
        """Answers what arrives until the connection ends."""

    @abc.abstractmethod
    def _break_body(self, fault: errors.BrokenBodyError) -> None:
        """Breaks off the body that is being read, if any."""

    def check_timeouts(self, now_ms: float) -> None:
        """Closes a connection that is idle for too long."""
        idled_ms = now_ms - self._since_ms
        limit_ms = self._listener.settings.idle_ms + CHECK_MARGIN_MS
        if self.is_idle and idled_ms > limit_ms:
            self.finish()

    def finish(self) -> None:
        """Closes the connection once what was written is sent."""
        self.transport.close()

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
        self._listener.connections.add(self)
        self._task = asyncio.create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels what the client no longer waits for."""
        self._listener.connections.discard(self)
        self.writable.set()
        self._break_body(errors.BrokenBodyError("the client left"))
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Holds up a streamed body."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Lets a streamed body go on."""
        self.writable.set()


class Listener(background.BackgroundOwner):
    """Listens on an address while its context is open.

    A handler is cancelled when its connection is lost.
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
        """Tells whether no request is in progress."""
        return all(one.is_idle for one in self.connections)

    @abc.abstractmethod
    def _make_connection(self) -> ServerConnection:
        """Returns the protocol of a connection that opens."""

    async def __aenter__(self) -> Self:
        """Starts to listen.

        Raises:
          ListenError: the address is taken, or not this instance's.
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
        """Stops listening and closes what connections are left."""
        await super().__aexit__(error_type, error, traceback)
        if self._server is not None:
            self._server.close()
        for one in tuple(self.connections):
            one.finish()

    def set_limits(self, settings: ListenerSettings) -> None:
        """Takes other bounds, for what arrives from now on."""
        self.settings = settings

    def close_idle(self) -> None:
        """Closes the connections on which nothing is in progress."""
        for one in tuple(self.connections):
            if one.is_idle:
                one.finish()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_ms = clock.get_now_ms()
            for one in tuple(self.connections):
                one.check_timeouts(now_ms)
