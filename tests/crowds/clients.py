"""Crowds of clients that hold their connections and do not behave."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import dataclasses
import socket

from tests.platform import deployment as deployments

# The crowd is complete after this time, also if a daemon doesn't read all.
SEND_TIMEOUT_S = 10.0
# The kernel of a client that doesn't read holds little of its answer.
SMALL_BUFFER_BYTES = 4096
# Returns what the client of a number sends.
Maker = Callable[[int], bytes]


@dataclasses.dataclass(frozen=True)
class Crowd:
    """Clients of one listener that send their bytes and stay connected.

    `machine` and `listener` say where they connect, `make_bytes` what the
    client of a number sends. With `reads_nothing` the kernel keeps little of
    what the daemon sends them.
    """

    machine: int
    listener: str
    make_bytes: Maker
    reads_nothing: bool = False


@contextlib.asynccontextmanager
async def open_crowd(
    crowd: Crowd, address: str, count: int
) -> AsyncIterator[None]:
    """Keeps the connections of a crowd open while the context is open."""
    sockets = [_make_socket(crowd) for _ in range(count)]
    tasks = [
        asyncio.create_task(_send(opened, address, crowd.make_bytes(number)))
        for number, opened in enumerate(sockets)
    ]
    try:
        await asyncio.wait(tasks, timeout=SEND_TIMEOUT_S)
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for opened in sockets:
            opened.close()


def _make_socket(crowd: Crowd) -> socket.socket:
    opened = socket.socket()
    opened.setblocking(False)
    if crowd.reads_nothing:
        opened.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES
        )
    return opened


async def _send(opened: socket.socket, address: str, data: bytes) -> None:
    """Connects and sends; a daemon may refuse and close at any time."""
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    with contextlib.suppress(OSError):
        await loop.sock_connect(opened, (host, int(port)))
        await loop.sock_sendall(opened, data)


def make_head(
    path: str, number: int, *lines: bytes, method: str = "POST"
) -> bytes:
    """Returns a request head without its last empty line."""
    start = (
        f"{method} {path} HTTP/1.1",
        f"Host: {deployments.HOST}",
        f"Request-Id: crowd-{number}",
        "Deadline-Ms: 60000",
    )
    return b"".join(
        line + b"\r\n" for line in (*(text.encode() for text in start), *lines)
    )
