"""The HTTP client sends each request at most once.

By default, aiohttp resends a request with an idempotent method when the server
closed a reused connection. Only the retry policy may resend a call.
"""

import asyncio

import aiohttp
import pytest

from kumquatridge import clock
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.http import client
from tests import processes
from tests.callpath import graph as graphs

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ClosingWorker:
    """Answers the first request and closes the connection on the second."""

    def __init__(self) -> None:
        self.request_count = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves a connection until it is closed."""
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.request_count += 1
                if self.request_count > 1:
                    break
                writer.write(ANSWER)
        except asyncio.IncompleteReadError:
            pass
        writer.close()


@pytest.mark.parametrize("method", ["GET", "PUT", "POST", "DELETE"])
async def test_reused_connection_closed_by_worker_gives_unknown_without_resend(
    method: str,
) -> None:
    address = processes.get_free_address()
    host, port = address.split(":")
    worker = ClosingWorker()
    server = await asyncio.start_server(worker.serve, host, int(port))
    async with server, client.make_session() as session:
        results = [await send(session, address, method) for _ in range(2)]
    assert isinstance(results[0], client.Answer)
    assert isinstance(results[1], outcomes.Unknown)
    assert results[1].worker_lost
    assert worker.request_count == 2


async def send(
    session: aiohttp.ClientSession, address: str, method: str
) -> client.SendResult:
    """Sends a call to an address; returns the result."""
    # One service that calls no others, without retries and faults.
    policies = graphs.make_policies(graphs.Graph(((),), 0, 0.0, 1, 0))
    policy = policies.find("s0", method, "/")
    assert policy is not None
    call = calls.Call(
        service="s0",
        method=method,
        path="/",
        headers=(),
        body=call_body.EMPTY,
        caller="",
        idempotency_key=None,
        policy=policy,
        # The call has 5 s left.
        chain=graphs.make_chain(5.0),
        received_ms=clock.get_now_ms(),
    )
    async with client.send(
        session, call, f"http://{address}/", (), address
    ) as result:
        return result
