"""An HTTP server with one task for each connection."""

from collections.abc import Awaitable, Callable
import types
from typing import Self

from aiohttp import web

from kumquatridge.http import errors

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

# Time to read and discard the rest of a request body after its answer.
LINGER_S = 2.0
MAX_HEADER_FIELD_BYTES = 16 * 1024


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
        """Stops listening and closes the remaining connections."""
        await self._runner.cleanup()
