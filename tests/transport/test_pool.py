"""What becomes of requests whose answers are broken, late or another's."""

import asyncio

import pytest

from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.transport import errors
from kumquatridge.transport import messages
from kumquatridge.transport import pool
from tests import processes
from tests.transport import scripted

Send, Read, Close = scripted.Send, scripted.Read, scripted.Close
Reset, Pause = scripted.Reset, scripted.Pause

REQUEST = messages.Request("GET", "/a%2Fb?c=%20", (), call_body.EMPTY)
OURS = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\nours"
OTHERS = b"HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nContent-Length: 5\r\n\r\nother"
UNFRAMED = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nours"
CUT = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\nours"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\nours\r\n0\r\n\r\n"
)
CUT_CHUNK = CHUNKED[: -len(b"0\r\n\r\n")]


def is_ours(headers: outcomes.Headers) -> bool:
    return messages.find_header(headers, "request-id") in (None, "1")


async def ask(connections: pool.ConnectionPool, address: str) -> bytes:
    async with connections.send(address, REQUEST, accepts=is_ours) as answer:
        match answer.body:
            case call_body.BufferedBody(data):
                return data
            case call_body.StreamedBody(_, chunks):
                return b"".join([chunk async for chunk in chunks])


@pytest.mark.parametrize(
    "steps",
    [
        pytest.param((Read(), Send(OURS)), id="whole"),
        pytest.param((Read(), Send(CHUNKED)), id="chunked"),
        pytest.param((Read(), Send(CONTINUE + OURS)), id="continue first"),
        pytest.param((Read(), Send(OTHERS + OURS)), id="another's first"),
        pytest.param((Read(), Send(OURS + OTHERS)), id="another's after"),
        pytest.param((Read(), Send(OURS + b"\0junk")), id="junk after"),
        pytest.param((Read(), Send(UNFRAMED), Close()), id="ends by closing"),
        pytest.param((Read(), Send(OURS), Reset()), id="reset after"),
    ],
)
async def test_own_answer_is_found(steps: tuple[scripted.Step, ...]) -> None:
    async with (
        scripted.run_scripted(*steps) as (server, address),
        pool.ConnectionPool() as connections,
    ):
        assert await ask(connections, address) == b"ours"
        assert server.received[0].startswith(b"GET /a%2Fb?c=%20 HTTP/1.1\r\n")


@pytest.mark.parametrize(
    ("steps", "error"),
    [
        pytest.param(
            (Read(), Send(CUT), Close()),
            errors.ConnectionBrokenError,
            id="cut short",
        ),
        pytest.param(
            (Read(), Send(CUT_CHUNK), Close()),
            errors.ConnectionBrokenError,
            id="cut between chunks",
        ),
        pytest.param(
            (Read(), Send(UNFRAMED), Pause(), Reset()),
            errors.ConnectionBrokenError,
            id="unframed and reset",
        ),
        pytest.param(
            (Read(), Send(b"\x16\x03junk\r\n\r\n")),
            errors.MalformedAnswerError,
            id="no answer at all",
        ),
        pytest.param(
            (Read(), Close()), errors.ConnectionBrokenError, id="closed"
        ),
        pytest.param(
            (Read(), Reset()), errors.ConnectionBrokenError, id="reset"
        ),
    ],
)
async def test_broken_answer_never_looks_whole(
    steps: tuple[scripted.Step, ...], error: type[Exception]
) -> None:
    async with (
        scripted.run_scripted(*steps) as (_, address),
        pool.ConnectionPool() as connections,
    ):
        with pytest.raises(error):
            await ask(connections, address)


async def test_refused_connection_sends_nothing() -> None:
    async with pool.ConnectionPool() as connections:
        with pytest.raises(errors.ConnectError):
            await ask(connections, processes.get_free_address())


@pytest.mark.parametrize(
    ("steps", "connections_used"),
    [
        pytest.param(
            (Read(), Send(OURS), Read(), Send(OURS)), 1, id="kept alive"
        ),
        pytest.param((Read(), Send(OTHERS + OURS)), 2, id="another's before"),
        pytest.param((Read(), Send(OURS + OTHERS)), 2, id="another's after"),
        pytest.param(
            (Read(), Send(OURS), Pause(10), Send(OTHERS)),
            2,
            id="another's while idle",
        ),
        pytest.param(
            (
                Read(),
                Send(OURS.replace(b"Req", b"Connection: close\r\nReq")),
            ),
            2,
            id="server closes",
        ),
        pytest.param(
            (Read(), Send(OURS), Pause(10), Close()), 2, id="closed while idle"
        ),
    ],
)
async def test_only_clean_connections_are_used_again(
    steps: tuple[scripted.Step, ...], connections_used: int
) -> None:
    async with (
        scripted.run_scripted(*steps) as (server, address),
        pool.ConnectionPool() as connections,
    ):
        for _ in range(2):
            assert await ask(connections, address) == b"ours"
            await asyncio.sleep(0.05)
        assert server.connections == connections_used


async def test_answer_given_up_reaches_no_later_request() -> None:
    steps = (Read(), Pause(100), Send(OTHERS), Read(), Send(OURS))
    async with (
        scripted.run_scripted(*steps) as (server, address),
        pool.ConnectionPool() as connections,
    ):
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.03):
                async with connections.send(address, REQUEST):
                    pass
        async with connections.send(address, REQUEST) as answer:
            assert answer.body == call_body.BufferedBody(b"other")
        assert server.connections == 2


async def test_idle_limit_of_the_server_is_kept() -> None:
    told = OURS.replace(b"Req", b"Keep-Alive: timeout=1\r\nReq")
    steps = (Read(), Send(told), Read(), Send(told), Read(), Send(told))
    async with (
        scripted.run_scripted(*steps) as (server, address),
        pool.ConnectionPool() as connections,
    ):
        await ask(connections, address)
        await ask(connections, address)
        assert server.connections == 1
        await asyncio.sleep(0.6)
        await ask(connections, address)
        assert server.connections == 2


async def test_long_answer_is_streamed() -> None:
    data = b"x" * 2_000_000
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n".encode()
    async with (
        scripted.run_scripted(Read(), Send(head + data)) as (_, address),
        pool.ConnectionPool() as connections,
        connections.send(address, REQUEST) as answer,
    ):
        match answer.body:
            case call_body.StreamedBody(length_bytes, chunks):
                assert length_bytes == len(data)
                assert b"".join([one async for one in chunks]) == data
            case _:
                pytest.fail("held in memory whole")
