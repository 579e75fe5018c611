"""The HTTP server of the daemon's own front end, when it stops."""

import asyncio
import socket

from aiohttp import web
import pytest

from kumquatridge.http import server
from tests import processes
from tests.platform import late_reader


# Guards against an answer that a planned stop cuts off, because its end is
# still in the write buffer when its caller begins to read.
@pytest.mark.parametrize("body_bytes", [100_000, 125_000, 150_000])
async def test_server_ends_after_its_answers_are_sent(body_bytes: int) -> None:
    transports: list[asyncio.Transport] = []
    is_received = asyncio.Event()

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        assert request.transport is not None
        transports.append(request.transport)
        is_received.set()
        return web.Response(body=b"x" * body_bytes)

    async def read_late(connection: socket.socket) -> bytes:
        await asyncio.sleep(0.5)
        return await late_reader.read_body(connection)

    address = processes.get_free_address()
    async with (
        server.HttpServer(address, handle) as stopping,
        late_reader.send(address, "/x", 5000) as connection,
    ):
        await is_received.wait()
        reading = asyncio.create_task(read_late(connection))
        await stopping.__aexit__(None, None, None)
        assert transports[0].get_write_buffer_size() == 0
        assert len(await reading) == body_bytes
