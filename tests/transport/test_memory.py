"""Bytes without end must not be kept, whoever sends and reads them."""

import asyncio
from collections.abc import Callable
import tracemalloc

import pytest

from kumquatridge.calls import body as call_body
from kumquatridge.transport import connection
from kumquatridge.transport import errors
from kumquatridge.transport import frames
from kumquatridge.transport import http_listener
from kumquatridge.transport import incoming_body
from kumquatridge.transport import messages
from kumquatridge.transport import server
from tests import processes
from tests.transport import pausable

MIB = 1024 * 1024
# Sent to each reader, unless it closes the connection before.
SENT_BYTES = 8 * MIB
READ_BYTES = 64 * 1024
# What a reader may keep: a body up to the size that is read completely, what
# arrives with it at once, and as much again for its parts.
KEPT_BYTES = 2 * (incoming_body.MAX_BUFFERED_BYTES + READ_BYTES)
POST = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
GET = b"GET / HTTP/1.1\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
STREAMED_FRAME = frames.HEADER.pack(
    frames.FrameType.STREAMED, 1, frames.UNKNOWN_LENGTH
)


def feed_without_end(
    transport: pausable.PausableTransport,
    feed: Callable[[bytes], None],
    part: bytes,
) -> int:
    """Feeds a reader until it pauses or closes; returns the bytes it keeps."""
    data = part * (READ_BYTES // len(part))
    tracemalloc.start()
    try:
        before_bytes, _ = tracemalloc.get_traced_memory()
        for _ in range(SENT_BYTES // len(data)):
            if transport.is_paused or transport.is_closed:
                break
            feed(data)
        after_bytes, _ = tracemalloc.get_traced_memory()
        return after_bytes - before_bytes
    finally:
        tracemalloc.stop()


# Guards against an answer without end, of a worker or the store, that is kept.
@pytest.mark.parametrize(
    ("start", "part"),
    [
        pytest.param(HEAD, b"a:\r\n", id="short headers"),
        pytest.param(HEAD + b"a: ", b"x", id="one header"),
        pytest.param(b"", b"HTTP/1.1 100 A\r\n\r\n", id="interim answers"),
        pytest.param(CHUNKED_HEAD, b"1\r\nx\r\n", id="chunks of 1 byte"),
        pytest.param(CHUNKED_HEAD, b"2\r\nxy\r\n", id="chunks of 2 bytes"),
        pytest.param(CHUNKED_HEAD + b"1;", b"x", id="a chunk extension"),
        pytest.param(CHUNKED_HEAD + b"0\r\n", b"a:\r\n", id="trailers"),
        pytest.param(CHUNKED_HEAD + b"0\r\na: ", b"x", id="one trailer"),
        pytest.param(HEAD + b"\r\n", b"x", id="a body"),
    ],
)
async def test_answer_without_end_is_not_kept(
    start: bytes, part: bytes
) -> None:
    transport = pausable.PausableTransport()
    client = connection.Connection()
    client.connection_made(transport)
    request = messages.Request("GET", "/", (), call_body.EMPTY)
    sending = asyncio.create_task(
        client.send(request, connection.accept_any, 5.0)
    )
    await asyncio.sleep(0)
    client.data_received(start)
    kept_bytes = feed_without_end(transport, client.data_received, part)
    client.close()
    await asyncio.gather(sending, return_exceptions=True)
    assert kept_bytes <= KEPT_BYTES


# Guards against a request without end, of a worker that calls others or
# reports, that is kept.
@pytest.mark.parametrize(
    ("start", "part"),
    [
        pytest.param(GET[:-2], b"a:\r\n", id="short headers"),
        pytest.param(GET[:-2] + b"a: ", b"x", id="one header"),
        pytest.param(POST, b"1\r\nx\r\n", id="chunks of 1 byte"),
        pytest.param(POST, b"2\r\nxy\r\n", id="chunks of 2 bytes"),
        pytest.param(POST + b"1;", b"x", id="a chunk extension"),
        pytest.param(POST + b"0\r\n", b"a:\r\n", id="trailers"),
        pytest.param(POST + b"0\r\na: ", b"x", id="one trailer"),
        pytest.param(POST + b"80000\r\n", b"x", id="a body"),
        pytest.param(
            GET + POST + b"7fffffff\r\n", b"x", id="a body that must wait"
        ),
        pytest.param(GET, GET, id="requests that must wait"),
    ],
)
async def test_request_without_end_is_not_kept(
    start: bytes, part: bytes
) -> None:
    async def wait(
        request: messages.Request, responder: http_listener.Responder
    ) -> None:
        await asyncio.sleep(60.0)

    async with http_listener.HttpListener(
        processes.get_free_address(), wait
    ) as listener:
        transport = pausable.PausableTransport()
        served = listener._make_connection()
        served.connection_made(transport)
        served.data_received(start)
        kept_bytes = feed_without_end(transport, served.data_received, part)
        served.connection_lost(None)
    assert kept_bytes <= KEPT_BYTES


# Guards against frames without end, of another daemon, that are kept.
@pytest.mark.parametrize(
    ("start", "part"),
    [
        pytest.param(
            STREAMED_FRAME + b"h",
            frames.HEADER.pack(frames.FrameType.PART, 0, 0),
            id="empty parts",
        ),
        pytest.param(
            STREAMED_FRAME + b"h",
            frames.HEADER.pack(frames.FrameType.PART, 0, 2) + b"xy",
            id="parts of 2 bytes",
        ),
        pytest.param(
            frames.HEADER.pack(frames.FrameType.WHOLE, 2**32 - 1, 0),
            b"x",
            id="a head",
        ),
        pytest.param(
            b"", frames.HEADER.pack(frames.FrameType.WHOLE, 0, 0), id="messages"
        ),
    ],
)
async def test_frames_without_end_are_not_kept(
    start: bytes, part: bytes
) -> None:
    transport = pausable.PausableTransport()
    delivered: list[frames.Message] = []

    def deliver(message: frames.Message) -> None:
        if delivered:
            raise errors.ProtocolError("a second message")
        delivered.append(message)

    reader = frames.FrameReader(transport, deliver)

    def feed(data: bytes) -> None:
        try:
            reader.feed(data)
        except errors.ProtocolError:
            transport.abort()

    feed(start)
    # The body, if any, has a reader that takes nothing more for a while.
    reading = asyncio.create_task(read_first(delivered))
    await asyncio.sleep(0)
    kept_bytes = feed_without_end(transport, feed, part)
    reading.cancel()
    assert kept_bytes <= KEPT_BYTES


async def read_first(delivered: list[frames.Message]) -> None:
    """Reads the first part of the body of a streamed message."""
    for message in delivered:
        match message.body:
            case call_body.StreamedBody(_, chunks):
                await anext(aiter(chunks))
            case call_body.BufferedBody():
                pass


@pytest.mark.parametrize(
    "limit_bytes", [server.ListenerSettings().max_header_bytes]
)
async def test_trailers_are_accepted_up_to_the_limit_of_heads(
    limit_bytes: int,
) -> None:
    received: list[messages.Request] = []

    async def answer(
        request: messages.Request, responder: http_listener.Responder
    ) -> None:
        received.append(request)
        await responder.send(messages.Answer(200, (), call_body.EMPTY))

    address = processes.get_free_address()
    async with http_listener.HttpListener(address, answer):
        host, port = address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        trailer = b"a: " + b"x" * (limit_bytes // 2) + b"\r\n"
        writer.write(POST + b"2\r\nxy\r\n0\r\n" + trailer + b"\r\n")
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        writer.close()
    assert len(received) == 1
