"""Control messages over HTTP, on connections that go silent."""

import asyncio

import pytest

from kumquatridge.membership import errors
from kumquatridge.membership import messages as membership_messages
from kumquatridge.membership import recorder
from kumquatridge.peers import http_link
from kumquatridge.peers import messages
from kumquatridge.transport import pool
from tests.transport import scripted

TIMEOUT_MS = 300
HEARTBEAT = membership_messages.Heartbeat("a", (), ())


# Guards against a live peer that is taken for dead, because requests are sent
# on its silent connections one by one.
async def test_request_after_a_time_out_uses_a_new_connection() -> None:
    data = messages.encode(HEARTBEAT)
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n"
    # Each connection is silent after its first answer.
    steps = (scripted.Read(), scripted.Send(head.encode() + data))
    async with (
        scripted.run_scripted(*steps) as (server, address),
        pool.ConnectionPool() as connections,
    ):
        link = http_link.HttpControlLink(connections, recorder.NoRecorder())
        asked = (link.ask(address, HEARTBEAT, TIMEOUT_MS) for _ in range(3))
        await asyncio.gather(*asked)
        assert server.connection_count == 3
        with pytest.raises(errors.PeerSilentError):
            await link.ask(address, HEARTBEAT, TIMEOUT_MS)
        assert await link.ask(address, HEARTBEAT, TIMEOUT_MS) == HEARTBEAT
