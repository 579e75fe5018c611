"""Pools of reusable client connections."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import socket
import types
from typing import Any, Generic, Self, TypeVar

from kumquatridge import clock
from kumquatridge import scopes
from kumquatridge.admission import connection_limits
from kumquatridge.transport import client_connection
from kumquatridge.transport import connection
from kumquatridge.transport import errors
from kumquatridge.transport import messages

# Used where no time-out is given.
DEFAULT_ANSWER_TIMEOUT_MS = 60_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeLimits:
    """Limits of one exchange.

    A connection is reused only if it has been idle for less than `idle_ms`
    (None for the limit of the pool). The answer, or the first part of a
    streamed one, must arrive within `timeout_ms` after the request was sent.

    Exchanges with the same `key` use different connections. A server may send
    an answer once more, late; where two requests can't be told apart by their
    answers, that copy would be taken for the answer to the later one.
    """

    idle_ms: float | None = None
    timeout_ms: float = DEFAULT_ANSWER_TIMEOUT_MS
    key: str | None = None


NO_LIMITS = ExchangeLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class PoolSettings:
    """Limits of the connections of a pool.

    `connect_timeout_ms` is enough for a handshake within a region in which one
    packet is lost. Connections that were idle for `idle_ms` are not reused; it
    is below the shortest idle time-out of servers in use (several seconds).
    After `tcp_user_timeout_ms` without an acknowledgement
    the kernel ends a connection; otherwise, connections to an unresponsive host
    would outlast their calls. `max_idle` limits the number of idle connections
    to one server, and thereby the file descriptors in use.
    """

    connect_timeout_ms: float = 500.0
    idle_ms: float = 3000.0
    tcp_user_timeout_ms: int = 3000
    max_idle: int = 64


ConnectionT = TypeVar(
    "ConnectionT", bound=client_connection.ClientConnection[Any]
)


class BaseConnectionPool(Generic[ConnectionT]):
    """Reusable connections by address, while the context is open.

    `opened_count` counts the attempts to open a connection.
    """

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
        # Limits by address, from the Keep-Alive headers of servers.
        self._idle_limits_ms: dict[str, float] = {}
        self.opened_count = 0

    async def __aenter__(self) -> Self:
        """Opens no connections; they are opened on demand."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Closes the idle connections."""
        for address in tuple(self._idle):
            self.close_idle(address)

    def close_idle(self, address: str) -> None:
        """Closes the idle connections to an address."""
        for idle_connection in self._idle.pop(address, ()):
            idle_connection.close()

    async def acquire(
        self, address: str, limits: "ExchangeLimits"
    ) -> ConnectionT:
        """Returns a connection for exclusive use, idle or newly opened.

        Raises:
          ConnectError: the connection could not be opened.
        """
        acquired = self._pop_idle(address, limits)
        if acquired is None:
            acquired = await self._open(address, limits.timeout_ms)
        if limits.key is not None:
            acquired.record_key(limits.key)
        return acquired

    def release(
        self,
        address: str,
        leased: ConnectionT,
    ) -> None:
        """Keeps an acquired connection for reuse, or closes it."""
        idle = self._idle[address]
        if not leased.is_reusable or len(idle) >= self._settings.max_idle:
            leased.close()
            return
        idle.append(leased)

    def _pop_idle(
        self, address: str, limits: "ExchangeLimits"
    ) -> ConnectionT | None:
        """Returns the connection used last that the limits allow, if any.

        Connections that are no longer usable are closed; those that have
        carried the key of the limits stay idle.
        """
        idle = self._idle.get(address)
        limit_ms = self._get_idle_limit_ms(address, limits)
        skipped: list[ConnectionT] = []
        found: ConnectionT | None = None
        while idle and found is None:
            candidate = idle.pop()
            idle_time_ms = clock.get_now_ms() - candidate.idle_since_ms
            if not candidate.is_reusable or idle_time_ms >= limit_ms:
                candidate.close()
            elif limits.key is not None and candidate.has_carried(limits.key):
                skipped.append(candidate)
            else:
                found = candidate
        if idle is not None:
            idle.extend(reversed(skipped))
        return found

    def _get_idle_limit_ms(
        self, address: str, limits: "ExchangeLimits"
    ) -> float:
        """Returns the time after which an idle connection is not reused."""
        limit_ms = min(
            self._settings.idle_ms,
            self._idle_limits_ms.get(address, self._settings.idle_ms),
        )
        if limits.idle_ms is None:
            return limit_ms
        return min(limit_ms, limits.idle_ms)

    async def _open(self, address: str, timeout_ms: float) -> ConnectionT:
        endpoint = connection.Endpoint.parse(address)
        loop = asyncio.get_running_loop()
        self.opened_count += 1
        try:
            timeout_ms = min(timeout_ms, self._settings.connect_timeout_ms)
            async with asyncio.timeout(timeout_ms / 1000.0):
                transport, opened = await loop.create_connection(
                    self._make_connection, endpoint.host, endpoint.port
                )
        # UnicodeError: the host can't be encoded as a host name.
        except (OSError, TimeoutError, UnicodeError) as error:
            raise errors.ConnectError(
                f"{address}: {error or 'no connection in time'}"
            ) from error
        raw_socket = transport.get_extra_info("socket")
        raw_socket.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            self._settings.tcp_user_timeout_ms,
        )
        return opened


class ConnectionPool(BaseConnectionPool[connection.Connection]):
    """A pool of connections for HTTP/1.1 requests.

    `limiter` counts the connections, with others of the process.
    """

    def __init__(
        self,
        settings: PoolSettings | None = None,
        limiter: connection_limits.ConnectionLimiter | None = None,
    ) -> None:
        limiter = limiter or connection_limits.ConnectionLimiter()
        super().__init__(lambda: connection.Connection(limiter), settings)

    def send(
        self,
        address: str,
        request: messages.Request,
        *,
        accepts: connection.AnswerFilter = connection.accept_any,
        limits: ExchangeLimits = NO_LIMITS,
    ) -> "Exchange":
        """Returns a context that sends a request and yields its answer.

        `accepts` decides by the headers whether an answer belongs to the
        request.
        """
        return Exchange(self, address, request, accepts, limits)

    def record_idle_limit(self, address: str, answer: messages.Answer) -> None:
        """Limits idle times at a server to half of its Keep-Alive time-out."""
        keep_alive = messages.find_header(answer.headers, "keep-alive")
        if keep_alive is None:
            return
        for parameter in keep_alive.split(","):
            name, _, seconds = parameter.strip().partition("=")
            if name.lower() == "timeout" and seconds.isdecimal():
                self._idle_limits_ms[address] = int(seconds) * 1000.0 / 2


class Exchange(scopes.Scope[messages.Answer]):
    """One request and its answer, which can be read while the context is open.

    Entering the context sends the request and waits for the answer. Leaving it
    before the body of the answer was read closes the connection, which cancels
    the request.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        address: str,
        request: messages.Request,
        accepts: connection.AnswerFilter,
        limits: ExchangeLimits,
    ) -> None:
        self._connections = connections
        self._address = address
        self._request = request
        self._accepts = accepts
        self._limits = limits
        self._leased: connection.Connection | None = None

    async def _open(self) -> messages.Answer:
        """Sends the request and waits for the answer.

        Raises:
          ConnectError: no connection; nothing was sent.
          TransportError: the server may have received the request.
        """
        limits = self._limits
        self._leased = await self._connections.acquire(self._address, limits)
        answer = await self._leased.send(
            self._request, self._accepts, limits.timeout_ms / 1000.0
        )
        self._connections.record_idle_limit(self._address, answer)
        return answer

    async def _close(self, error: BaseException | None) -> None:
        leased, self._leased = self._leased, None
        if leased is not None:
            self._connections.release(self._address, leased)
