"""Which connections are used again."""

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
    """A transport that may have read the end of its connection."""

    def __init__(self, closing: bool) -> None:
        super().__init__()
        self._closing = closing

    def abort(self) -> None:
        """Does nothing."""

    def is_closing(self) -> bool:
        """Tells whether what is written from now on is lost."""
        return self._closing


async def send_http(opened: connection.Connection) -> None:
    request = messages.Request("GET", "/", (), call_body.EMPTY)
    await opened.send(request, connection.accept_any, 1.0)


async def send_frame(opened: frame_connection.FrameConnection) -> None:
    await opened.send(frames.Message(b"call", call_body.EMPTY), 1.0)


PROTOCOLS = [
    pytest.param(connection.Connection, send_http, id="http"),
    pytest.param(frame_connection.FrameConnection, send_frame, id="frames"),
]


@pytest.mark.parametrize(("make_connection", "send"), PROTOCOLS)
@pytest.mark.parametrize("closing", [False, True])
async def test_closing_connection_is_not_used(
    make_connection: Callable[[], Connection], send: Send, closing: bool
) -> None:
    del send
    opened = make_connection()
    opened.connection_made(Transport(closing))
    assert opened.is_reusable is not closing


@pytest.mark.parametrize(("make_connection", "send"), PROTOCOLS)
async def test_nothing_is_sent_on_a_lost_connection(
    make_connection: Callable[[], Connection], send: Send
) -> None:
    opened = make_connection()
    opened.connection_made(Transport(closing=False))
    opened.connection_lost(None)
    with pytest.raises(errors.ConnectError):
        await send(opened)
