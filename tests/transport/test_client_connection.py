"""Reuse of client connections."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from kumquatridge.calls import body as call_body
from kumquatridge.transport import connection
from kumquatridge.transport import errors
from kumquatridge.transport import frame_connection
from kumquatridge.transport import frames
from kumquatridge.transport import messages

Connection = connection.Connection | frame_connection.FrameConnection
Send = Callable[[Any], Awaitable[None]]


class Transport(asyncio.Transport):
    """A transport that may be closing."""

    def __init__(self, is_closing: bool) -> None:
        super().__init__()
        self._is_closing = is_closing

    def abort(self) -> None:
        """Does nothing."""

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
