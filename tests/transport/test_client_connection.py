"""Reuse of client connections."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import sys
from typing import Any

import pytest

from kumquatridge.calls import body as call_body
from kumquatridge.transport import client_connection
from kumquatridge.transport import connection
from kumquatridge.transport import errors
from kumquatridge.transport import frame_connection
from kumquatridge.transport import frames
from kumquatridge.transport import messages
from tests.transport import pausable

Connection = connection.Connection | frame_connection.FrameConnection
Send = Callable[[Any], Awaitable[None]]


class Transport(asyncio.Transport):
    """A transport that may be closing."""

    def __init__(self, is_closing: bool) -> None:
        super().__init__()
        self._is_closing = is_closing

    def abort(self) -> None:
        """Does nothing."""

    def get_write_buffer_size(self) -> int:
        """Returns 0, as nothing waits to be sent."""
        return 0

    def is_closing(self) -> bool:
        """Returns the value set by the test."""
        return self._is_closing


async def send_http(client: connection.Connection) -> None:
    request = messages.Request("GET", "/", (), call_body.EMPTY)
    # The time-out of 1 s is never reached: no test waits for an answer.
    await client.send(request, connection.accept_any, 1.0)


async def send_frame(client: frame_connection.FrameConnection) -> None:
    await client.send(frames.Message(b"call", call_body.EMPTY), 1.0)


PROTOCOLS = [
    pytest.param(connection.Connection, send_http, id="http"),
    pytest.param(frame_connection.FrameConnection, send_frame, id="frames"),
]


@pytest.mark.parametrize(("make_connection", "send"), PROTOCOLS)
@pytest.mark.parametrize("is_closing", [False, True])
async def test_closing_connection_is_not_reusable(
    make_connection: Callable[[], Connection], send: Send, is_closing: bool
) -> None:
    del send
    client = make_connection()
    client.connection_made(Transport(is_closing))
    assert client.is_reusable is not is_closing


@pytest.mark.parametrize(("make_connection", "send"), PROTOCOLS)
async def test_send_on_lost_connection_raises_connect_error(
    make_connection: Callable[[], Connection], send: Send
) -> None:
    client = make_connection()
    client.connection_made(Transport(is_closing=False))
    client.connection_lost(None)
    with pytest.raises(errors.ConnectError):
        await send(client)


# Guards against a connection that stays paused after an answer was dropped that
# had arrived whole: the next exchange on it would time out.
def measure_objects(client: Connection) -> int:
    """Returns the bytes of what a connection and its containers refer to."""
    objects = {id(value): value for value in vars(client).values()}
    for value in tuple(objects.values()):
        if isinstance(value, dict):
            objects |= {id(key): key for key in value}
    return sum(
        sys.getsizeof(value)
        for value in objects.values()
        if isinstance(value, str | int)
    )


# Guards against ids of requests, which may be as long as a head, that a pooled
# connection keeps for its whole life.
@pytest.mark.parametrize(("make_connection", "send"), PROTOCOLS)
async def test_keys_are_remembered_but_not_kept(
    make_connection: Callable[[], Connection], send: Send
) -> None:
    del send
    client = make_connection()
    keys = [f"{number}.{'k' * 15_000}" for number in range(100)]
    for key in keys:
        client.record_key(key)
    assert measure_objects(client) <= 100 * client_connection.MAX_KEYS
    first_kept = len(keys) - client_connection.MAX_KEYS
    assert [client.has_carried(key) for key in keys] == [
        number >= first_kept for number in range(len(keys))
    ]


async def test_connection_with_a_dropped_answer_receives_the_next_one() -> None:
    transport = pausable.PausableTransport()
    client = connection.Connection()
    client.connection_made(transport)
    request = messages.Request("GET", "/", (), call_body.EMPTY)
    sending = asyncio.create_task(
        client.send(request, connection.accept_any, 1.0)
    )
    await asyncio.sleep(0)
    # Above `incoming_body.MAX_BUFFERED_BYTES`, so that the body is streamed.
    first, rest = b"x" * 600_000, b"x" * 100_000
    length_bytes = len(first) + len(rest)
    client.data_received(
        f"HTTP/1.1 200 OK\r\nContent-Length: {length_bytes}\r\n\r\n".encode()
    )
    client.data_received(first)
    match (await sending).body:
        case call_body.StreamedBody(_, chunks):
            assert await anext(aiter(chunks)) == first
            reading = asyncio.create_task(read_next(chunks))
        case call_body.BufferedBody():
            pytest.fail("expected a streamed body, got a buffered one")
    await asyncio.sleep(0)
    assert not transport.is_paused
    # More than the window, and the end; the reader leaves before it reads them.
    client.data_received(rest)
    reading.cancel()
    assert client.is_reusable
    assert not transport.is_paused


async def read_next(chunks: AsyncIterator[bytes]) -> bytes:
    return await anext(aiter(chunks))
