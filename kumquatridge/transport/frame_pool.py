"""A pool of connections to other daemons."""

from kumquatridge import scopes
from kumquatridge.admission import connection_limits
from kumquatridge.transport import errors
from kumquatridge.transport import frame_connection
from kumquatridge.transport import frames
from kumquatridge.transport import pool


class FramePool(pool.BaseConnectionPool[frame_connection.FrameConnection]):
    """A pool of connections for framed messages.

    `limiter` counts the connections, with others of the process, and decides
    whether one more is opened.
    """

    def __init__(
        self,
        settings: pool.PoolSettings | None = None,
        limiter: connection_limits.ConnectionLimiter | None = None,
    ) -> None:
        counted = limiter or connection_limits.ConnectionLimiter()
        super().__init__(
            lambda: frame_connection.FrameConnection(counted), settings
        )
        self._limiter = counted

    async def _open(
        self, address: str, timeout_ms: float
    ) -> frame_connection.FrameConnection:
        if not self._limiter.accepts_outgoing():
            raise errors.ConnectError(f"{address}: too many connections")
        return await super()._open(address, timeout_ms)

    def send(
        self, address: str, message: frames.Message, timeout_ms: float
    ) -> "FrameExchange":
        """Returns a context that sends a message and yields its answer."""
        return FrameExchange(self, address, message, timeout_ms)


class FrameExchange(scopes.Scope[frames.Message]):
    """One message and its answer, which can be read while the context is open.

    Leaving the context before the body of the answer was read closes the
    connection, which cancels the work at the receiver.
    """

    def __init__(
        self,
        connections: FramePool,
        address: str,
        message: frames.Message,
        timeout_ms: float,
    ) -> None:
        self._connections = connections
        self._address = address
        self._message = message
        self._timeout_ms = timeout_ms
        self._leased: frame_connection.FrameConnection | None = None

    async def _open(self) -> frames.Message:
        """Sends the message and waits for the answer.

        Raises:
          ConnectError: no connection; nothing was sent.
          TransportError: the message may have reached the receiver.
        """
        limits = pool.ExchangeLimits(timeout_ms=self._timeout_ms)
        self._leased = await self._connections.acquire(self._address, limits)
        try:
            return await self._leased.send(
                self._message, self._timeout_ms / 1000.0
            )
        except errors.AnswerTimeoutError:
            # A daemon answers before this time-out. The idle connections to it
            # may have gone silent together with this one.
            self._connections.close_idle(self._address)
            raise

    async def _close(self, error: BaseException | None) -> None:
        leased, self._leased = self._leased, None
        if leased is not None:
            self._connections.release(self._address, leased)
