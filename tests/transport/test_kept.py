"""Which connections are used again."""

import asyncio

import pytest

from kumquatridge.transport import connection
from kumquatridge.transport import frame_connection
from kumquatridge.transport import kept


class Transport(asyncio.Transport):
    """A transport that may have read the end of its connection."""

    def __init__(self, closing: bool) -> None:
        super().__init__()
        self._closing = closing

    def is_closing(self) -> bool:
        """Tells whether what is written from now on is lost."""
        return self._closing


@pytest.mark.parametrize(
    "make_connection",
    [
        pytest.param(connection.Connection, id="http"),
        pytest.param(frame_connection.FrameConnection, id="frames"),
    ],
)
@pytest.mark.parametrize("closing", [False, True])
async def test_closing_connection_is_not_used(
    make_connection: type[kept.KeptConnection], closing: bool
) -> None:
    opened = make_connection()
    opened.connection_made(Transport(closing))
    assert opened.is_reusable is not closing
