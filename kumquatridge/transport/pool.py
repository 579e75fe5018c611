"""Kept connections to servers."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import socket
import types
from typing import Any, Generic, Self, TypeVar

from kumquatridge import clock
from kumquatridge import scopes
from kumquatridge.transport import connection
from kumquatridge.transport import errors
from kumquatridge.transport import kept
from kumquatridge.transport import messages

# Bounds an answer for which the caller names no time.
LONGEST_MS = 60_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """How long a connection may have been idle, and an answer may take.

    `idle_ms` is None where the pool's own bound suffices.
    """

    idle_ms: float | None = None
    timeout_ms: float = LONGEST_MS


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """Bounds of connections.

    `connect_timeout_ms` covers a handshake across a region with one lost
    packet. `idle_ms` is below the shortest idle time-out in use (several
    seconds). After `unacknowledged_ms` without an acknowledgement the kernel
    gives a connection up, so that a silent one doesn't outlast the calls.
    `max_idle` bounds the descriptors held for one server.
    """

    connect_timeout_ms: float = 500.0
    idle_ms: float = 3000.0
    unacknowledged_ms: int = 3000
    max_idle: int = 64


ConnectionT = TypeVar("ConnectionT", bound=kept.KeptConnection[Any])


class KeptConnections(Generic[ConnectionT]):
    """Connections by address while its context is open."""

    def __init__(
        self,
        make_connection: Callable[[], ConnectionT],
        settings: PoolSettings | None = None,
    ) -> None:
        self._make_connection = make_connection
        self._settings = settings or PoolSettings()
        self._idle: dict[str, collections.deque[ConnectionT]] = (
            collections.defaultdict(collections.deque)
        )
        self._idle_limits_ms: dict[str, float] = {}
        self.opened = 0

    async def __aenter__(self) -> Self:
        """Opens nothing yet: connections are opened on use."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Closes the idle connections."""
        for address in tuple(self._idle):
            self.forget(address)

    def forget(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for one in self._idle.pop(address, ()):
            one.close()

    async def lend(self, address: str, bounds: "Bounds") -> ConnectionT:
        """Returns a connection that nobody else uses.

        Raises:
          ConnectError: none could be opened.
        """
        idle = self._take_idle(address, bounds.idle_ms)
        return idle or await self._open(address, bounds.timeout_ms)

    def take_back(
        self,
        address: str,
        used: ConnectionT,
    ) -> None:
        """Keeps a connection for the next request, or closes it."""
        idle = self._idle[address]
        if not used.is_reusable or len(idle) >= self._settings.max_idle:
            used.close()
            return
        idle.append(used)

    def _take_idle(
        self, address: str, idle_ms: float | None
    ) -> ConnectionT | None:
        idle = self._idle.get(address)
        limit_ms = min(
            self._settings.idle_ms,
            self._idle_limits_ms.get(address, self._settings.idle_ms),
        )
        if idle_ms is not None:
            limit_ms = min(limit_ms, idle_ms)
        while idle:
            one = idle.pop()
            idled_ms = clock.get_now_ms() - one.idle_since_ms
            if one.is_reusable and idled_ms < limit_ms:
                return one
            one.close()
        return None

    async def _open(self, address: str, timeout_ms: float) -> ConnectionT:
        endpoint = connection.Endpoint.parse(address)
        loop = asyncio.get_running_loop()
        self.opened += 1
        try:
            timeout_ms = min(timeout_ms, self._settings.connect_timeout_ms)
            async with asyncio.timeout(timeout_ms / 1000.0):
                transport, opened = await loop.create_connection(
                    self._make_connection, endpoint.host, endpoint.port
                )
        except (OSError, TimeoutError) as error:
            raise errors.ConnectError(
                f"{address}: {error or 'no connection in time'}"
            ) from error
        raw = transport.get_extra_info("socket")
        raw.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            self._settings.unacknowledged_ms,
        )
        return opened


class ConnectionPool(KeptConnections[connection.Connection]):
    """Connections for requests in HTTP."""

    def __init__(self, settings: PoolSettings | None = None) -> None:
        super().__init__(connection.Connection, settings)

    def send(
        self,
        address: str,
        request: messages.Request,
        *,
        accepts: connection.Accepts = connection.accept_any,
        idle_ms: float | None = None,
        timeout_ms: float = LONGEST_MS,
    ) -> "Exchange":
        """Returns the exchange of a request for its answer, to be entered.

        A kept connection is used unless it has been idle for `idle_ms`. The
        answer must come within `timeout_ms`.
        """
        bounds = Bounds(idle_ms, timeout_ms)
        return Exchange(self, address, request, accepts, bounds)

    def learn_idle_limit(self, address: str, answer: messages.Answer) -> None:
        """Takes the announced time-out of idle connections, halved."""
        told = messages.find_header(answer.headers, "keep-alive")
        if told is None:
            return
        for part in told.split(","):
            name, _, seconds = part.strip().partition("=")
            if name.lower() == "timeout" and seconds.isdecimal():
                self._idle_limits_ms[address] = int(seconds) * 1000.0 / 2


class Exchange(scopes.Scope[messages.Answer]):
    """One request and its answer, which is readable while this is open.

    Opening sends the request and waits for the answer. Leaving before the
    answer's body was read closes the connection, which cancels the request.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        address: str,
        request: messages.Request,
        accepts: connection.Accepts,
        bounds: Bounds,
    ) -> None:
        self._connections = connections
        self._address = address
        self._request = request
        self._accepts = accepts
        self._bounds = bounds
        self._used: connection.Connection | None = None

    async def _open(self) -> messages.Answer:
        """Sends the request and waits for the answer.

        Raises:
          ConnectError: no byte was sent.
          TransportError: the request may have arrived.
        """
        bounds = self._bounds
        self._used = await self._connections.lend(self._address, bounds)
        answer = await self._used.send(
            self._request, self._accepts, bounds.timeout_ms / 1000.0
        )
        self._connections.learn_idle_limit(self._address, answer)
        return answer

    async def _close(self, error: BaseException | None) -> None:
        used, self._used = self._used, None
        if used is not None:
            self._connections.take_back(self._address, used)
