"""Statuses that HTTP doesn't have are no answer."""

import pytest

from kumquatridge.calls import body as call_body
from kumquatridge.transport import errors
from kumquatridge.transport import messages
from kumquatridge.transport import pool
from tests.transport import scripted

REQUEST = messages.Request("GET", "/", (), call_body.EMPTY)


def make_answer(status: str) -> bytes:
    return f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok".encode()


@pytest.mark.parametrize(
    "status",
    ["000", "001", "020", "099", "600", "999", "00", "0200", "-20", "2x0"],
)
async def test_impossible_status_ends_the_exchange(status: str) -> None:
    # Well below the time-out of the answer, which a faulty server can't use up.
    limits = pool.ExchangeLimits(timeout_ms=30_000.0)
    steps = scripted.Read(), scripted.Send(make_answer(status))
    async with (
        scripted.run_scripted(*steps) as (_, address),
        pool.ConnectionPool() as connections,
    ):
        with pytest.raises(errors.ProtocolError):
            async with connections.send(address, REQUEST, limits=limits):
                pass


@pytest.mark.parametrize("status", [200, 299, 404, 499, 500, 599])
async def test_final_status_is_an_answer(status: int) -> None:
    steps = scripted.Read(), scripted.Send(make_answer(str(status)))
    async with (
        scripted.run_scripted(*steps) as (_, address),
        pool.ConnectionPool() as connections,
        connections.send(address, REQUEST) as answer,
    ):
        assert answer.status == status
