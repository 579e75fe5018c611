"""Kept connections to other daemons."""

from kumquatridge import scopes
from kumquatridge.transport import frame_connection
from kumquatridge.transport import frames
from kumquatridge.transport import pool


class FramePool(pool.KeptConnections[frame_connection.FrameConnection]):
    """Connections for messages in frames."""

    def __init__(self, settings: pool.PoolSettings | None = None) -> None:
        super().__init__(frame_connection.FrameConnection, settings)

    def send(
        self, address: str, message: frames.Message, timeout_ms: float
    ) -> "FrameExchange":
        """Returns the exchange of a message for its answer, to be entered."""
        return FrameExchange(self, address, message, timeout_ms)


class FrameExchange(scopes.Scope[frames.Message]):
    """One message and its answer, which is readable while this is open.

    Leaving before the answer's body was read closes the connection, which
    cancels what the message asked for.
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
        self._used: frame_connection.FrameConnection | None = None

    async def _open(self) -> frames.Message:
        """Sends the message and waits for the answer.

        Raises:
          ConnectError: no byte was sent.
          TransportError: the message may have arrived.
        """
        bounds = pool.Bounds(timeout_ms=self._timeout_ms)
        self._used = await self._connections.lend(self._address, bounds)
        return await self._used.send(self._message, self._timeout_ms / 1000.0)

    async def _close(self, error: BaseException | None) -> None:
        used, self._used = self._used, None
        if used is not None:
            self._connections.take_back(self._address, used)
