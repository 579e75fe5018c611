"""Serves the operators' API with uvicorn in the daemon's event loop."""

import asyncio
from collections.abc import Iterator
import contextlib
import socket
import types
from typing import Self

import litestar
import uvicorn

from kumquatridge.operators import errors

# How long requests in progress may take when the server stops.
STOP_TIMEOUT_S = 1
# Longest head of a request, and trailers after its body.
MAX_HEAD_BYTES = 16 * 1024


class _EmbeddedServer(uvicorn.Server):
    """A uvicorn server that doesn't install signal handlers.

    The event `listening` is set once it accepts connections.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.listening = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        await super().startup(sockets)
        self.listening.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class OperatorServer:
    """Serves the operators' API while its context is open."""

    def __init__(self, address: str, app: litestar.Litestar) -> None:
        self._address = address
        self._server = _EmbeddedServer(
            uvicorn.Config(
                app,
                lifespan="off",
                access_log=False,
                log_level="warning",
                # The other implementation keeps heads and trailers of any
                # length.
                http="h11",
                h11_max_incomplete_event_size=MAX_HEAD_BYTES,
                timeout_graceful_shutdown=STOP_TIMEOUT_S,
            )
        )
        self._task: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Starts serving.

        Raises:
          ListenError: the address is in use, or is not an address of this
            instance.
        """
        listener = self._listen()
        self._task = asyncio.create_task(self._server.serve([listener]))
        listening = asyncio.create_task(self._server.listening.wait())
        await asyncio.wait(
            (listening, self._task), return_when=asyncio.FIRST_COMPLETED
        )
        listening.cancel()
        if self._task.done():
            # The server ended instead of listening; raises its error.
            self._task.result()
        return self

    def _listen(self) -> socket.socket:
        """Binds the address here instead of letting uvicorn bind it.

        uvicorn ends the process if it can't bind the address.

        Raises:
          ListenError: the address can't be bound.
        """
        host, port = self._address.rsplit(":", 1)
        try:
            return socket.create_server((host, int(port)))
        except OSError as error:
            raise errors.ListenError(
                f"can't listen at {self._address}: {error.strerror}"
            ) from error

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops serving and waits until the server has ended."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
