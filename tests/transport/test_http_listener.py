"""Requests that the HTTP listener accepts, and how it ends connections."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import pytest

from kumquatridge.calls import body as call_body
from kumquatridge.transport import http_listener
from kumquatridge.transport import messages
from kumquatridge.transport import server
from tests import processes

GET = b"GET /a?b HTTP/1.1\r\nHost: h\r\n\r\n"
POST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n"
)
OFFER = b"Upgrade: h2c\r\nConnection: Upgrade, HTTP2-Settings\r\n"
# A second request, hidden by a contradictory length of the first.
SMUGGLED = (
    b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /evil HTTP/1.1\r\n\r\n"
)


class Handler:
    """Echoes the body, or waits to be cancelled (`is_slow`)."""

    def __init__(self) -> None:
        self.received: list[messages.Request] = []
        self.cancelled_count = 0
        self.is_slow = False

    async def handle(
        self, request: messages.Request, responder: http_listener.Responder
    ) -> None:
        """Records the request, then waits or answers."""
        self.received.append(request)
        if self.is_slow:
            try:
                await asyncio.sleep(5.0)
            except asyncio.CancelledError:
                self.cancelled_count += 1
                raise
        await responder.send(messages.Answer(200, (), request.body))


@contextlib.asynccontextmanager
async def run_listener(
    handler: Handler, **settings: float
) -> AsyncIterator[
    tuple[
        http_listener.HttpListener, asyncio.StreamReader, asyncio.StreamWriter
    ]
]:
    """Runs a listener and opens a connection to it.

    `settings` are fields of `server.ListenerSettings`.
    """
    address = processes.get_free_address()
    host, port = address.rsplit(":", 1)
    limits = server.ListenerSettings(**settings)  # type: ignore[arg-type]
    async with http_listener.HttpListener(
        address, handler.handle, limits
    ) as listener:
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            yield listener, reader, writer
        finally:
            writer.close()


@pytest.mark.parametrize(
    ("sent", "target", "body"),
    [
        pytest.param(GET, "/a?b", b"", id="no body"),
        pytest.param(POST, "/a", b"body", id="content-length"),
        pytest.param(CHUNKED, "/a", b"body", id="chunked"),
    ],
)
async def test_request_is_parsed_with_target_and_body(
    sent: bytes, target: str, body: bytes
) -> None:
    handler = Handler()
    async with run_listener(handler) as (_, reader, writer):
        for _ in range(2):
            writer.write(sent)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 OK\r\n")
            assert await reader.readexactly(len(body)) == body
    assert [request.target for request in handler.received] == [target, target]


# Guards against a proper request that is rejected, since spaces are counted
# that its client did not send.
@pytest.mark.parametrize(
    "line",
    [
        pytest.param(b"ab:c\r\n", id="short lines"),
        pytest.param(b"a:\r\n", id="empty values"),
        pytest.param(b"a: b\r\n", id="lines with a space"),
    ],
)
async def test_head_as_long_as_the_limit_is_accepted(line: bytes) -> None:
    max_header_bytes = server.ListenerSettings().max_header_bytes
    count = (max_header_bytes - len(GET)) // len(line)
    handler = Handler()
    async with run_listener(handler) as (_, reader, writer):
        writer.write(GET[:-2] + line * count + b"\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 OK\r\n")
    (request,) = handler.received
    assert len(request.headers) == 1 + count


# Guards against a request that runs without its body, and gets a second answer,
# because it offers to go on in another protocol.
@pytest.mark.parametrize(
    "part_bytes",
    [
        pytest.param(1, id="byte by byte"),
        pytest.param(50, id="in parts"),
        pytest.param(10_000, id="at once"),
    ],
)
@pytest.mark.parametrize(
    ("sent", "body"),
    [
        pytest.param(GET, b"", id="no body"),
        pytest.param(POST, b"body", id="content-length"),
        pytest.param(CHUNKED, b"body", id="chunked"),
    ],
)
async def test_offer_of_another_protocol_is_declined(
    sent: bytes, body: bytes, part_bytes: int
) -> None:
    handler = Handler()
    with_offer = sent.replace(b"Host: h\r\n", b"Host: h\r\n" + OFFER)
    data = with_offer + with_offer + POST
    async with run_listener(handler) as (_, reader, writer):
        for start in range(0, len(data), part_bytes):
            writer.write(data[start : start + part_bytes])
            await asyncio.sleep(0)
        for expected in (body, body, b"body"):
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200 OK\r\n")
            assert await reader.readexactly(len(expected)) == expected
        # No further answer.
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.05):
                await reader.read(1)
    assert [request.body for request in handler.received] == [
        call_body.BufferedBody(expected) for expected in (body, body, b"body")
    ]


async def test_pipelined_requests_are_answered_in_order() -> None:
    handler = Handler()
    async with run_listener(handler) as (_, reader, writer):
        writer.write(POST.replace(b"body", b"one!") + POST)
        await reader.readuntil(b"\r\n\r\n")
        assert await reader.readexactly(4) == b"one!"
        await reader.readuntil(b"\r\n\r\n")
        assert await reader.readexactly(4) == b"body"


@pytest.mark.parametrize(
    ("sent", "status"),
    [
        pytest.param(b"junk\r\n\r\n", b"400", id="not HTTP"),
        pytest.param(SMUGGLED, b"400", id="content-length and chunked"),
        pytest.param(
            # The limit is 16 KiB.
            b"GET / HTTP/1.1\r\nX: " + b"x" * 20_000 + b"\r\n\r\n",
            b"431",
            id="headers too large",
        ),
        pytest.param(
            POST.replace(b": 4", b": 99999999999"), b"413", id="body too large"
        ),
        pytest.param(
            b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", b"400", id="a tunnel"
        ),
    ],
)
async def test_invalid_request_is_rejected_with_status(
    sent: bytes, status: bytes
) -> None:
    handler = Handler()
    async with run_listener(handler) as (_, reader, writer):
        writer.write(sent)
        answer = await reader.read()
    assert answer.split()[1] == status
    assert answer.count(b"HTTP/1.1 ") == 1
    assert not handler.received


async def test_closed_client_connection_cancels_handler() -> None:
    handler = Handler()
    handler.is_slow = True
    async with run_listener(handler) as (_, _, writer):
        writer.write(GET)
        # Time in which the request, and then the close, arrive.
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.05)
        assert handler.cancelled_count == 1


async def test_draining_listener_answers_and_then_closes_connection() -> None:
    handler = Handler()
    async with run_listener(handler) as (listener, reader, writer):
        listener.is_draining = True
        writer.write(POST)
        answer = await reader.read()
    assert b"Connection: close" in answer
    assert answer.endswith(b"body")


@pytest.mark.parametrize(
    ("settings", "sent"),
    [
        pytest.param({"idle_ms": 100.0}, b"", id="idle connection"),
        pytest.param({"header_timeout_ms": 100.0}, GET[:10], id="slow head"),
    ],
)
async def test_connection_without_request_times_out(
    settings: dict[str, float], sent: bytes
) -> None:
    async with run_listener(Handler(), **settings) as (_, reader, writer):
        writer.write(sent)
        # The time-out is 0.1 s plus `CHECK_MARGIN_MS` (1 s), checked every 1 s.
        async with asyncio.timeout(4.0):
            await reader.read()


async def test_long_body_is_streamed() -> None:
    # Above `incoming_body.MAX_BUFFERED_BYTES`.
    size_bytes = 2_000_000
    handler = Handler()
    head = f"POST / HTTP/1.1\r\nContent-Length: {size_bytes}\r\n\r\n".encode()
    async with run_listener(handler) as (_, reader, writer):
        writer.write(head + b"x" * size_bytes)
        await reader.readuntil(b"\r\n\r\n")
        assert await reader.readexactly(size_bytes) == b"x" * size_bytes
    match handler.received[0].body:
        case call_body.StreamedBody(length_bytes, _):
            assert length_bytes == size_bytes
        case _:
            pytest.fail("expected a streamed body, got a buffered one")


@pytest.mark.parametrize(
    ("idle_ms", "is_closed"),
    [
        pytest.param(0.0, True, id="any"),
        pytest.param(30.0, True, id="idle for longer"),
        pytest.param(5000.0, False, id="new"),
    ],
)
async def test_only_connections_idle_for_long_enough_are_closed(
    idle_ms: float, is_closed: bool
) -> None:
    async with run_listener(Handler()) as (listener, _, _):
        # Time in which the listener accepts the connection.
        await asyncio.sleep(0.1)
        (connection,) = listener.connections
        listener.close_idle(idle_ms)
        assert connection.transport.is_closing() is is_closed


async def test_connection_with_unread_request_is_not_closed_as_idle() -> None:
    handler = Handler()
    async with run_listener(handler) as (listener, reader, writer):
        # Time in which the listener accepts the connection.
        await asyncio.sleep(0.05)
        (connection,) = listener.connections
        connection.data_received(POST)
        assert not listener.is_idle
        listener.close_idle()
        await reader.readuntil(b"\r\n\r\n")
        assert await reader.readexactly(4) == b"body"
        writer.write(b"")
