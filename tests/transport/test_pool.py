"""HTTP exchanges: valid, truncated, late and mismatched answers.

A mismatched answer has the id of another request.
"""

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
# `is_own_answer` accepts the answers with the id 1 as those to `REQUEST`.
OWN_ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 4\r\n\r\nours"
)
MISMATCHED_ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: 0\r\nContent-Length: 5\r\n\r\nother"
)
UNFRAMED_ANSWER = b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nours"
TRUNCATED_ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: 9\r\n\r\nours"
)
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKED_ANSWER = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\nours\r\n0\r\n\r\n"
)
UNTERMINATED_ANSWER = CHUNKED_ANSWER[: -len(b"0\r\n\r\n")]


def is_own_answer(headers: outcomes.Headers) -> bool:
    return messages.find_header(headers, "request-id") in (None, "1")


async def exchange(connections: pool.ConnectionPool, address: str) -> bytes:
    async with connections.send(
        address, REQUEST, accepts=is_own_answer
    ) as answer:
        match answer.body:
            case call_body.BufferedBody(data):
                return data
            case call_body.StreamedBody(_, chunks):
                return b"".join([chunk async for chunk in chunks])


@pytest.mark.parametrize(
    "steps",
    [
        pytest.param((Read(), Send(OWN_ANSWER)), id="whole"),
        pytest.param((Read(), Send(CHUNKED_ANSWER)), id="chunked"),
        pytest.param(
            (Read(), Send(CONTINUE + OWN_ANSWER)), id="100 continue first"
        ),
        pytest.param(
            (Read(), Send(MISMATCHED_ANSWER + OWN_ANSWER)),
            id="mismatched answer first",
        ),
        pytest.param(
            (Read(), Send(OWN_ANSWER + MISMATCHED_ANSWER)),
            id="mismatched answer after",
        ),
        pytest.param((Read(), Send(OWN_ANSWER + b"\0junk")), id="junk after"),
        pytest.param(
            (Read(), Send(UNFRAMED_ANSWER), Close()), id="delimited by close"
        ),
        pytest.param(
            (Read(), Send(OWN_ANSWER), Reset()), id="reset after answer"
        ),
    ],
)
async def test_own_answer_is_returned(steps: tuple[scripted.Step, ...]) -> None:
    async with (
        scripted.run_scripted(*steps) as (server, address),
        pool.ConnectionPool() as connections,
    ):
        assert await exchange(connections, address) == b"ours"
        assert server.received[0].startswith(b"GET /a%2Fb?c=%20 HTTP/1.1\r\n")


@pytest.mark.parametrize(
    ("steps", "error"),
    [
        pytest.param(
            (Read(), Send(TRUNCATED_ANSWER), Close()),
            errors.ConnectionBrokenError,
            id="body truncated",
        ),
        pytest.param(
            (Read(), Send(UNTERMINATED_ANSWER), Close()),
            errors.ConnectionBrokenError,
            id="last chunk missing",
        ),
        pytest.param(
            (Read(), Send(UNFRAMED_ANSWER), Pause(), Reset()),
            errors.ConnectionBrokenError,
            id="unframed body and reset",
        ),
        pytest.param(
            (Read(), Send(b"\x16\x03junk\r\n\r\n")),
            errors.ProtocolError,
            id="not HTTP",
        ),
        pytest.param(
            (Read(), Close()),
            errors.ConnectionBrokenError,
            id="closed before answer",
        ),
        pytest.param(
            (Read(), Reset()),
            errors.ConnectionBrokenError,
            id="reset before answer",
        ),
    ],
)
async def test_truncated_or_malformed_answer_raises_error(
    steps: tuple[scripted.Step, ...], error: type[Exception]
) -> None:
    async with (
        scripted.run_scripted(*steps) as (_, address),
        pool.ConnectionPool() as connections,
    ):
        with pytest.raises(error):
            await exchange(connections, address)


# Guards against a success with an empty or short body, from a server that
# closed in the middle of its answer.
@pytest.mark.parametrize(
    ("answer", "cut_bytes"),
    # Every prefix up to `cut_bytes` before the end is tried. The body of an
    # unframed answer ends with the connection, so that only its head is cut.
    [
        pytest.param(OWN_ANSWER, 1, id="with a length"),
        pytest.param(CHUNKED_ANSWER, 1, id="chunked"),
        pytest.param(UNFRAMED_ANSWER, len(b"\nours"), id="unframed"),
    ],
)
async def test_answer_that_ends_in_its_head_or_body_is_no_success(
    answer: bytes, cut_bytes: int
) -> None:
    for length in range(len(answer) - cut_bytes + 1):
        async with (
            scripted.run_scripted(Read(), Send(answer[:length]), Close()) as (
                _,
                address,
            ),
            pool.ConnectionPool() as connections,
        ):
            with pytest.raises(errors.TransportError):
                await exchange(connections, address)


async def test_refused_connection_raises_connect_error() -> None:
    async with pool.ConnectionPool() as connections:
        with pytest.raises(errors.ConnectError):
            await exchange(connections, processes.get_free_address())


@pytest.mark.parametrize(
    ("steps", "connections_used"),
    # `steps` run on each connection.
    [
        pytest.param(
            (Read(), Send(OWN_ANSWER), Read(), Send(OWN_ANSWER)),
            1,
            id="kept alive",
        ),
        pytest.param(
            (Read(), Send(MISMATCHED_ANSWER + OWN_ANSWER)),
            2,
            id="mismatched answer before",
        ),
        pytest.param(
            (Read(), Send(OWN_ANSWER + MISMATCHED_ANSWER)),
            2,
            id="mismatched answer after",
        ),
        pytest.param(
            (Read(), Send(OWN_ANSWER), Pause(10), Send(MISMATCHED_ANSWER)),
            2,
            id="mismatched answer while idle",
        ),
        pytest.param(
            (
                Read(),
                Send(OWN_ANSWER.replace(b"Req", b"Connection: close\r\nReq")),
            ),
            2,
            id="server closes",
        ),
        pytest.param(
            (Read(), Send(OWN_ANSWER), Pause(10), Close()),
            2,
            id="closed while idle",
        ),
    ],
)
async def test_connection_is_reused_only_after_clean_exchange(
    steps: tuple[scripted.Step, ...], connections_used: int
) -> None:
    async with (
        scripted.run_scripted(*steps) as (server, address),
        pool.ConnectionPool() as connections,
    ):
        for _ in range(2):
            assert await exchange(connections, address) == b"ours"
            # Longer than the pauses in the steps, so that whatever follows the
            # answer has arrived.
            await asyncio.sleep(0.05)
        assert server.connection_count == connections_used


# Guards against a repeated answer that is taken for the one to the same
# request, sent again on the connection that carried it before.
@pytest.mark.parametrize(
    ("keys", "connections_used"),
    [
        pytest.param(("1", "1"), 2, id="same key"),
        pytest.param(("1", "2"), 1, id="another key"),
        pytest.param(("1", "2", "1"), 2, id="same key after another"),
        pytest.param(("1", "1", "2", "2"), 2, id="two keys"),
        pytest.param((None, None), 1, id="no key"),
    ],
)
async def test_exchanges_with_one_key_share_no_connection(
    keys: tuple[str | None, ...], connections_used: int
) -> None:
    steps = (Read(), Send(OWN_ANSWER)) * len(keys)
    async with (
        scripted.run_scripted(*steps) as (server, address),
        pool.ConnectionPool() as connections,
    ):
        for key in keys:
            async with connections.send(
                address, REQUEST, limits=pool.ExchangeLimits(key=key)
            ):
                pass
        assert server.connection_count == connections_used


async def test_answer_to_abandoned_request_reaches_no_later_request() -> None:
    # The request is abandoned after 30 ms, before its answer is sent.
    steps = (
        Read(),
        Pause(100),
        Send(MISMATCHED_ANSWER),
        Read(),
        Send(OWN_ANSWER),
    )
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
        assert server.connection_count == 2


async def test_idle_time_announced_by_server_is_respected() -> None:
    limited_answer = OWN_ANSWER.replace(b"Req", b"Keep-Alive: timeout=1\r\nReq")
    steps = (
        Read(),
        Send(limited_answer),
        Read(),
        Send(limited_answer),
        Read(),
        Send(limited_answer),
    )
    async with (
        scripted.run_scripted(*steps) as (server, address),
        pool.ConnectionPool() as connections,
    ):
        await exchange(connections, address)
        await exchange(connections, address)
        assert server.connection_count == 1
        # Idle connections are reused for half of the announced second.
        await asyncio.sleep(0.6)
        await exchange(connections, address)
        assert server.connection_count == 2


async def test_long_answer_is_streamed() -> None:
    # Above `incoming_body.MAX_BUFFERED_BYTES`.
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
                assert b"".join([chunk async for chunk in chunks]) == data
            case _:
                pytest.fail("expected a streamed body, got a buffered one")
