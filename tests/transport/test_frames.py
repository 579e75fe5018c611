"""What becomes of messages in frames: whole, in parts, cut, malformed."""

import asyncio
from collections.abc import AsyncIterator, Callable
import contextlib
import itertools

from hypothesis import given
from hypothesis import strategies
import pytest

from kumquatridge.calls import body as call_body
from kumquatridge.transport import errors
from kumquatridge.transport import frame_listener
from kumquatridge.transport import frame_pool
from kumquatridge.transport import frames
from tests import processes
from tests.platform import site as sites
from tests.transport import scripted

Send, Read, Close = scripted.Send, scripted.Read, scripted.Close
Reset, Pause = scripted.Reset, scripted.Pause

TIMEOUT_MS = 2000.0
LONG_BYTES = 300_000


def pack(
    kind: int, head: bytes = b"", body: bytes = b"", length: int | None = None
) -> bytes:
    size_bytes = len(body) if length is None else length
    return frames.HEADER.pack(kind, len(head), size_bytes) + head + body


OURS = pack(frames.Kind.WHOLE, b"head", b"ours")
LAST = pack(frames.Kind.LAST, b"head", b"ours")
OPENED = pack(frames.Kind.STREAMED, b"head", length=4)
UNMEASURED = pack(frames.Kind.STREAMED, b"head", length=frames.UNKNOWN_LENGTH)
PARTS = pack(frames.Kind.PART, body=b"ou") + pack(frames.Kind.PART, body=b"rs")
END = pack(frames.Kind.END)
MESSAGE = frames.Message(b"call", call_body.BufferedBody(b"body"))


async def read(body: call_body.Body) -> bytes:
    match body:
        case call_body.BufferedBody(data):
            return data
        case call_body.StreamedBody(_, chunks):
            return b"".join([chunk async for chunk in chunks])


async def ask(connections: frame_pool.FramePool, address: str) -> bytes:
    async with connections.send(address, MESSAGE, TIMEOUT_MS) as answer:
        assert answer.head == b"head"
        return await read(answer.body)


@pytest.mark.parametrize(
    ("steps", "connections_used"),
    [
        pytest.param((Read(), Send(OURS), Read(), Send(OURS)), 1, id="whole"),
        pytest.param(
            (
                Read(),
                Send(OURS[:3]),
                Pause(),
                Send(OURS[3:]),
                Read(),
                Send(OURS),
            ),
            1,
            id="in pieces",
        ),
        pytest.param(
            (Read(), Send(OPENED + PARTS + END), Read(), Send(OURS)),
            1,
            id="streamed",
        ),
        pytest.param(
            (Read(), Send(UNMEASURED), Pause(), Send(PARTS + END)),
            1,
            id="streamed without a length",
        ),
        pytest.param((Read(), Send(LAST)), 2, id="the last one"),
        pytest.param((Read(), Send(OURS + OURS)), 2, id="one too many"),
        pytest.param((Read(), Send(OURS), Reset()), 2, id="reset after"),
    ],
)
async def test_answer_is_found(
    steps: tuple[scripted.Step, ...], connections_used: int
) -> None:
    async with (
        scripted.run_scripted(*steps, *steps) as (server, address),
        frame_pool.FramePool() as connections,
    ):
        for _ in range(2):
            assert await ask(connections, address) == b"ours"
            await asyncio.sleep(0.01)
        assert server.connections == connections_used
        assert server.received[0] == pack(frames.Kind.WHOLE, b"call", b"body")


@pytest.mark.parametrize(
    ("steps", "error"),
    [
        pytest.param(
            (Read(), Send(OURS[:-1]), Close()),
            errors.ConnectionBrokenError,
            id="cut short",
        ),
        pytest.param(
            (Read(), Reset()), errors.ConnectionBrokenError, id="reset"
        ),
        pytest.param(
            (Read(), Send(OPENED + PARTS), Close()),
            errors.BrokenBodyError,
            id="body cut",
        ),
        pytest.param(
            (Read(), Send(b"HTTP/1.1 400 Bad Request\r\n\r\n")),
            errors.MalformedAnswerError,
            id="another protocol",
        ),
        pytest.param(
            (Read(), Send(END)), errors.MalformedAnswerError, id="end of none"
        ),
        pytest.param(
            (Read(), Send(pack(9, b"head", b"ours"))),
            errors.MalformedAnswerError,
            id="unknown kind",
        ),
        pytest.param(
            (Read(), Send(pack(1, length=frames.MAX_FRAME_BYTES))),
            errors.MalformedAnswerError,
            id="too long",
        ),
        pytest.param((Read(),), errors.AnswerTimeoutError, id="silence"),
    ],
)
async def test_broken_answer_is_an_error(
    steps: tuple[scripted.Step, ...], error: type[errors.TransportError]
) -> None:
    async with (
        scripted.run_scripted(*steps) as (_, address),
        frame_pool.FramePool() as connections,
    ):
        with pytest.raises(error):
            async with connections.send(address, MESSAGE, 300.0) as answer:
                await read(answer.body)


async def test_nothing_is_sent_without_a_connection() -> None:
    async with frame_pool.FramePool() as connections:
        with pytest.raises(errors.ConnectError):
            await ask(connections, processes.get_free_address())


@given(
    cuts=strategies.lists(strategies.integers(0, 60), max_size=8),
    bodies=strategies.lists(strategies.binary(max_size=9), max_size=4),
)
def test_reader_needs_no_alignment(
    cuts: list[int], bodies: list[bytes]
) -> None:
    found: list[frames.Message] = []
    reader = frames.Reader(NoFlow(), found.append)
    data = b"".join(pack(frames.Kind.WHOLE, b"h", body) for body in bodies)
    places = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    for start, end in itertools.pairwise(places):
        reader.feed(data[start:end])
    assert [one.body for one in found] == [
        call_body.BufferedBody(body) for body in bodies
    ]
    assert reader.is_between


@given(data=strategies.binary(max_size=64))
def test_reader_takes_or_refuses_any_bytes(data: bytes) -> None:
    reader = frames.Reader(NoFlow(), lambda message: None)
    with contextlib.suppress(errors.MalformedAnswerError):
        reader.feed(data)


class NoFlow:
    """A flow that nobody holds up."""

    def pause_reading(self) -> None:
        """Does nothing."""

    def resume_reading(self) -> None:
        """Does nothing."""


class Handler:
    """Answers with the body that came, or waits to be cancelled."""

    def __init__(self) -> None:
        self.seen: list[bytes] = []
        self.cancelled = 0
        self.waits = False
        self.fails = False

    async def handle(
        self, message: frames.Message, responder: frame_listener.FrameResponder
    ) -> None:
        """Answers one message."""
        self.seen.append(message.head)
        if self.fails:
            raise ValueError("a fault of the handler")
        if self.waits:
            try:
                await asyncio.sleep(5.0)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        await responder.send(b"head", message.body)


@contextlib.asynccontextmanager
async def run_listener(
    handler: Handler,
) -> AsyncIterator[tuple[frame_listener.FrameListener, str]]:
    address = processes.get_free_address()
    async with frame_listener.FrameListener(address, handler.handle) as opened:
        yield opened, address


async def iterate(count: int) -> AsyncIterator[bytes]:
    for _ in range(count):
        yield b"x" * LONG_BYTES
        await asyncio.sleep(0)


@pytest.mark.parametrize(
    ("make_body", "size_bytes"),
    [
        pytest.param(lambda: call_body.EMPTY, 0, id="empty"),
        pytest.param(
            lambda: call_body.BufferedBody(b"x" * LONG_BYTES),
            LONG_BYTES,
            id="whole",
        ),
        pytest.param(
            lambda: call_body.BufferedBody(b"x" * 20 * LONG_BYTES),
            20 * LONG_BYTES,
            id="whole, longer than a frame",
        ),
        pytest.param(
            lambda: call_body.StreamedBody(
                None, call_body.SinglePassStream(iterate(4))
            ),
            4 * LONG_BYTES,
            id="streamed",
        ),
    ],
)
async def test_body_goes_there_and_back(
    make_body: Callable[[], call_body.Body], size_bytes: int
) -> None:
    handler = Handler()
    async with (
        run_listener(handler) as (_, address),
        frame_pool.FramePool() as connections,
    ):
        for _ in range(2):
            message = frames.Message(b"call", make_body())
            async with connections.send(address, message, TIMEOUT_MS) as found:
                assert len(await read(found.body)) == size_bytes
        assert connections.opened == 1


async def test_leaving_early_cancels_the_handler() -> None:
    handler = Handler()
    handler.waits = True
    async with (
        run_listener(handler) as (opened, address),
        frame_pool.FramePool() as connections,
    ):
        asking = asyncio.create_task(ask(connections, address))
        await sites.wait_until(lambda: bool(handler.seen))
        assert not opened.is_idle
        asking.cancel()
        await asyncio.gather(asking, return_exceptions=True)
        await sites.wait_until(lambda: not opened.connections)
        assert handler.cancelled == 1
        assert opened.is_idle


async def test_fault_of_the_handler_ends_the_connection() -> None:
    handler = Handler()
    handler.fails = True
    async with (
        run_listener(handler) as (_, address),
        frame_pool.FramePool() as connections,
    ):
        with pytest.raises(errors.ConnectionBrokenError):
            await ask(connections, address)


async def test_draining_listener_ends_connections_with_their_answers() -> None:
    handler = Handler()
    async with (
        run_listener(handler) as (opened, address),
        frame_pool.FramePool() as connections,
    ):
        opened.is_draining = True
        for _ in range(2):
            assert await ask(connections, address) == b"body"
        assert connections.opened == 2
