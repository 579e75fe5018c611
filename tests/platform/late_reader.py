"""A caller that reads its answer late, with little room in the kernel."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import socket

from tests.platform import deployment as deployments

# With these, the kernel holds about a fifth of an answer of 500 KB.
RECEIVE_BUFFER_BYTES = 4096
SEGMENT_BYTES = 536
READ_BYTES = 65_536
HEAD_END = b"\r\n\r\n"


@contextlib.asynccontextmanager
async def send(
    address: str, target: str, deadline_ms: int
) -> AsyncIterator[socket.socket]:
    """Sends a request; yields the connection, from which nothing was read."""
    host, _, port = address.rpartition(":")
    lines = (
        f"POST {target} HTTP/1.1",
        f"Host: {deployments.HOST}",
        "Request-Id: late",
        f"Deadline-Ms: {deadline_ms}",
        "Content-Length: 0",
    )
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setblocking(False)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        connection.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES
        )
        await loop.sock_connect(connection, (host, int(port)))
        data = "\r\n".join(lines).encode() + HEAD_END
        await loop.sock_sendall(connection, data)
        yield connection


async def read_body(connection: socket.socket) -> bytes:
    """Reads until the daemon closes; returns the body of the answer."""
    loop = asyncio.get_running_loop()
    data = b""
    with contextlib.suppress(ConnectionError):
        while part := await loop.sock_recv(connection, READ_BYTES):
            data += part
    return data.partition(HEAD_END)[2]
