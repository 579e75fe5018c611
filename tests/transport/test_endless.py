"""Servers that send bytes without end instead of an answer."""

import asyncio

import pytest

from kumquatridge.calls import body as call_body
from kumquatridge.transport import connection
from kumquatridge.transport import errors
from kumquatridge.transport import messages
from kumquatridge.transport import pool
from tests.transport import scripted

REQUEST = messages.Request("GET", "/", (), call_body.EMPTY)
HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FILLER_BYTES = 16 * 1024
# More than a connection accepts, with what it may read at once.
FILLER_COUNT = 4 * connection.MAX_OVERHEAD_BYTES // FILLER_BYTES


def repeat(start: bytes, line: bytes) -> tuple[scripted.Step, ...]:
    """Returns steps that send a line again and again and never end."""
    filler = line * (FILLER_BYTES // len(line))
    return (
        scripted.Read(),
        scripted.Send(start),
        *[scripted.Send(filler)] * FILLER_COUNT,
    )


@pytest.mark.parametrize(
    "steps",
    [
        pytest.param(repeat(HEAD, b"X-Filler: 1\r\n"), id="header lines"),
        pytest.param(repeat(HEAD + b"X: ", b"x"), id="a header value"),
        pytest.param(repeat(HEAD, b"x"), id="a header name"),
        pytest.param(repeat(b"HTTP/1.1 200 ", b"x"), id="a reason"),
        pytest.param(
            repeat(b"", b"HTTP/1.1 100 Continue\r\n\r\n"), id="interim answers"
        ),
        pytest.param(repeat(CHUNKED + b"4;", b"x"), id="a chunk extension"),
        pytest.param(
            repeat(CHUNKED + b"4\r\nours\r\n0\r\n", b"X: 1\r\n"), id="trailers"
        ),
        pytest.param(
            repeat(HEAD.replace(b": 1", b": 2") + b"\r\n", b"x"),
            id="the body of another answer",
        ),
        pytest.param(repeat(b"", b"\x00\xff"), id="no answer at all"),
    ],
)
async def test_bytes_without_end_close_the_connection(
    steps: tuple[scripted.Step, ...],
) -> None:
    async with (
        scripted.run_scripted(*steps) as (_, address),
        pool.ConnectionPool() as connections,
    ):
        # Well before the time-out of the answer.
        async with asyncio.timeout(5.0):
            with pytest.raises((errors.ProtocolError, errors.BrokenBodyError)):
                async with connections.send(
                    address,
                    REQUEST,
                    accepts=lambda headers: ("request-id", "1") in headers,
                    limits=pool.ExchangeLimits(timeout_ms=30_000.0),
                ) as answer:
                    match answer.body:
                        case call_body.StreamedBody(_, chunks):
                            async for _chunk in chunks:
                                pass
                        case call_body.BufferedBody():
                            pass


@pytest.mark.parametrize(
    "address",
    [
        "127.0.0.1:0",
        "127.0.0.1:70000",
        f"127.0.0.1:{10**30}",
        "127.0.0.1:-1",
        "127.0.0.1:x",
        "127.0.0.1",
        ":80",
        "",
        f"{'a' * 300}:80",
    ],
)
async def test_unusable_address_is_a_connect_error(address: str) -> None:
    async with pool.ConnectionPool() as connections:
        with pytest.raises(errors.ConnectError):
            async with connections.send(address, REQUEST):
                pass
