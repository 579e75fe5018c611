"""An HTTP server with one task for each connection."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
import types
from typing import Self

from aiohttp import web

from kumquatridge.http import errors

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Time to read and discard the rest of a request body after its answer.
LINGER_S = 2.0
MAX_HEADER_FIELD_BYTES = 16 * 1024
# Time in which clients may read the rest of their answers before the server
# ends, and the interval at which it checks whether they have.
SEND_TIMEOUT_S = 3.0
SEND_POLL_S = 0.05


class HttpServer:
    """Listens on an address while its context is open.

    A handler is cancelled when its connection is lost.
    """

    def __init__(self, address: str, handler: Handler) -> None:
        host, port = address.rsplit(":", 1)
        self._host = host
        self._port = int(port)
        self._runner = web.ServerRunner(
            web.Server(
                handler,
                handler_cancellation=True,
                access_log=None,
                lingering_time=LINGER_S,
                max_field_size=MAX_HEADER_FIELD_BYTES,
            )
        )

    async def __aenter__(self) -> Self:
        """Starts to listen.

        Raises:
          ListenError: the address is in use, or not one of this instance.
        """
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._host, self._port)
        try:
            await site.start()
        except OSError as error:
            await self._runner.cleanup()
            raise errors.ListenError(
                f"can't listen at {self._host}:{self._port}: {error.strerror}"
            ) from error
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops listening; closes the connections once answers are sent."""
        server = self._runner.server
        transports = (
            []
            if server is None
            else [handler.transport for handler in server.connections]
        )
        await self._runner.cleanup()
        await _wait_until_sent(transports)


async def _wait_until_sent(
    transports: Iterable[asyncio.Transport | None],
) -> None:
    """Waits until the write buffers are empty, for `SEND_TIMEOUT_S` at most.

    The process may end right after this, and with it what is still buffered.
    """
    for _ in range(round(SEND_TIMEOUT_S / SEND_POLL_S)):
        if not any(
            transport is not None and transport.get_write_buffer_size() > 0
            for transport in transports
        ):
            return
        await asyncio.sleep(SEND_POLL_S)
