"""Framed messages: whole, in parts, truncated and malformed."""

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
from tests.platform import deployment as deployments
from tests.transport import scripted

Send, Read, Close = scripted.Send, scripted.Read, scripted.Close
Reset, Pause = scripted.Reset, scripted.Pause

TIMEOUT_MS = 2000.0
# A buffered body of this size is sent in one frame. 20 times as much exceeds
# `frames.MAX_WHOLE_BODY_BYTES`, and also `frames.MAX_FRAME_BYTES`.
LONG_BYTES = 300_000


def pack(
    frame_type: int,
    head: bytes = b"",
    body: bytes = b"",
    announced_bytes: int | None = None,
) -> bytes:
    """Returns a frame; `announced_bytes` replaces the length of the body."""
    body_bytes = len(body) if announced_bytes is None else announced_bytes
    return frames.HEADER.pack(frame_type, len(head), body_bytes) + head + body


ANSWER = pack(frames.FrameType.WHOLE, b"head", b"ours")
LAST_ANSWER = pack(frames.FrameType.LAST, b"head", b"ours")
STREAM_START = pack(frames.FrameType.STREAMED, b"head", announced_bytes=4)
UNSIZED_STREAM_START = pack(
    frames.FrameType.STREAMED, b"head", announced_bytes=frames.UNKNOWN_LENGTH
)
PARTS = pack(frames.FrameType.PART, body=b"ou") + pack(
    frames.FrameType.PART, body=b"rs"
)
END = pack(frames.FrameType.END)
MESSAGE = frames.Message(b"call", call_body.BufferedBody(b"body"))


async def read(body: call_body.Body) -> bytes:
    match body:
        case call_body.BufferedBody(data):
            return data
        case call_body.StreamedBody(_, chunks):
            return b"".join([chunk async for chunk in chunks])


async def exchange(connections: frame_pool.FramePool, address: str) -> bytes:
    async with connections.send(address, MESSAGE, TIMEOUT_MS) as answer:
        assert answer.head == b"head"
        return await read(answer.body)


@pytest.mark.parametrize(
    ("steps", "connections_used"),
    # The steps of one connection. They run twice, so that also a second message
    # on it is answered.
    [
        pytest.param(
            (Read(), Send(ANSWER), Read(), Send(ANSWER)), 1, id="whole"
        ),
        pytest.param(
            (
                Read(),
                Send(ANSWER[:3]),
                Pause(),
                Send(ANSWER[3:]),
                Read(),
                Send(ANSWER),
            ),
            1,
            id="frame arrives in pieces",
        ),
        pytest.param(
            (Read(), Send(STREAM_START + PARTS + END), Read(), Send(ANSWER)),
            1,
            id="streamed",
        ),
        pytest.param(
            (Read(), Send(UNSIZED_STREAM_START), Pause(), Send(PARTS + END)),
            1,
            id="streamed without a length",
        ),
        pytest.param(
            (Read(), Send(LAST_ANSWER)), 2, id="last message of connection"
        ),
        pytest.param(
            (Read(), Send(ANSWER + ANSWER)),
            2,
            id="second answer, not requested",
        ),
        pytest.param(
            (Read(), Send(ANSWER), Reset()), 2, id="reset after answer"
        ),
    ],
)
async def test_answer_is_received_and_connection_reused_if_reusable(
    steps: tuple[scripted.Step, ...], connections_used: int
) -> None:
    async with (
        scripted.run_scripted(*steps, *steps) as (server, address),
        frame_pool.FramePool() as connections,
    ):
        for _ in range(2):
            assert await exchange(connections, address) == b"ours"
            # Time in which whatever follows the answer arrives.
            await asyncio.sleep(0.01)
        assert server.connection_count == connections_used
        assert server.received[0] == pack(
            frames.FrameType.WHOLE, b"call", b"body"
        )


@pytest.mark.parametrize(
    ("steps", "error"),
    [
        pytest.param(
            (Read(), Send(ANSWER[:-1]), Close()),
            errors.ConnectionBrokenError,
            id="frame truncated",
        ),
        pytest.param(
            (Read(), Reset()), errors.ConnectionBrokenError, id="reset"
        ),
        pytest.param(
            (Read(), Send(STREAM_START + PARTS), Close()),
            errors.BrokenBodyError,
            id="body truncated",
        ),
        pytest.param(
            (Read(), Send(STREAM_START + PARTS[: len(PARTS) // 2] + END)),
            errors.BrokenBodyError,
            id="body shorter than announced",
        ),
        pytest.param(
            (Read(), Send(STREAM_START + PARTS), Pause(), Send(PARTS + END)),
            errors.BrokenBodyError,
            id="body longer than announced",
        ),
        pytest.param(
            (
                Read(),
                Send(UNSIZED_STREAM_START),
                Pause(),
                Send(pack(frames.FrameType.PART)),
            ),
            errors.BrokenBodyError,
            id="empty part",
        ),
        pytest.param(
            (Read(), Send(b"HTTP/1.1 400 Bad Request\r\n\r\n")),
            errors.ProtocolError,
            id="another protocol",
        ),
        pytest.param(
            (Read(), Send(END)),
            errors.ProtocolError,
            id="end frame without stream",
        ),
        pytest.param(
            (Read(), Send(pack(9, b"head", b"ours"))),
            errors.ProtocolError,
            id="unknown frame type",
        ),
        pytest.param(
            # Type 1 is WHOLE. With its header the frame exceeds the limit.
            (Read(), Send(pack(1, announced_bytes=frames.MAX_FRAME_BYTES))),
            errors.ProtocolError,
            id="frame too long",
        ),
        pytest.param((Read(),), errors.AnswerTimeoutError, id="no answer"),
    ],
)
async def test_invalid_answer_raises_matching_error(
    steps: tuple[scripted.Step, ...], error: type[errors.TransportError]
) -> None:
    async with (
        scripted.run_scripted(*steps) as (_, address),
        frame_pool.FramePool() as connections,
    ):
        with pytest.raises(error):
            # A short time-out (in ms), since one case waits for it.
            async with connections.send(address, MESSAGE, 300.0) as answer:
                await read(answer.body)


async def test_refused_connection_raises_connect_error() -> None:
    async with frame_pool.FramePool() as connections:
        with pytest.raises(errors.ConnectError):
            await exchange(connections, processes.get_free_address())


@given(
    # Offsets at which the bytes of all messages are split.
    cuts=strategies.lists(strategies.integers(0, 60), max_size=8),
    bodies=strategies.lists(strategies.binary(max_size=9), max_size=4),
)
def test_reader_finds_messages_however_bytes_are_split(
    cuts: list[int], bodies: list[bytes]
) -> None:
    received: list[frames.Message] = []
    reader = frames.FrameReader(NoFlowControl(), received.append)
    data = b"".join(pack(frames.FrameType.WHOLE, b"h", body) for body in bodies)
    offsets = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    for start, end in itertools.pairwise(offsets):
        reader.feed(data[start:end])
    assert [message.body for message in received] == [
        call_body.BufferedBody(body) for body in bodies
    ]
    assert reader.is_at_boundary


@given(data=strategies.binary(max_size=64))
def test_arbitrary_bytes_raise_no_other_error_than_protocol_error(
    data: bytes,
) -> None:
    reader = frames.FrameReader(NoFlowControl(), lambda message: None)
    with contextlib.suppress(errors.ProtocolError):
        reader.feed(data)


# Guards against a head whose headers take many times its length once decoded.
@pytest.mark.parametrize(
    ("head_bytes", "is_read"),
    [(frames.MAX_HEAD_BYTES, True), (frames.MAX_HEAD_BYTES + 1, False)],
)
@pytest.mark.parametrize(
    "frame_type", [frames.FrameType.WHOLE, frames.FrameType.STREAMED]
)
def test_head_is_read_up_to_its_limit(
    frame_type: frames.FrameType, head_bytes: int, is_read: bool
) -> None:
    received: list[frames.Message] = []
    reader = frames.FrameReader(NoFlowControl(), received.append)
    data = frames.HEADER.pack(frame_type, head_bytes, 0) + bytes(head_bytes)
    if is_read:
        reader.feed(data)
    else:
        with pytest.raises(errors.ProtocolError):
            reader.feed(data)
    assert len(received) == int(is_read)


class NoFlowControl:
    """Flow control without effect."""

    def pause_reading(self) -> None:
        """Does nothing."""

    def resume_reading(self) -> None:
        """Does nothing."""


class Handler:
    """Echoes the body; waits to be cancelled (`is_slow`) or fails instead."""

    def __init__(self) -> None:
        self.received_heads: list[bytes] = []
        self.cancelled_count = 0
        self.is_slow = False
        self.is_failing = False

    async def handle(
        self, message: frames.Message, responder: frame_listener.FrameResponder
    ) -> None:
        """Records the message, then waits, fails or answers."""
        self.received_heads.append(message.head)
        if self.is_failing:
            raise ValueError("handler failed")
        if self.is_slow:
            try:
                await asyncio.sleep(5.0)
            except asyncio.CancelledError:
                self.cancelled_count += 1
                raise
        await responder.send(b"head", message.body)


@contextlib.asynccontextmanager
async def run_listener(
    handler: Handler,
) -> AsyncIterator[tuple[frame_listener.FrameListener, str]]:
    address = processes.get_free_address()
    async with frame_listener.FrameListener(
        address, handler.handle
    ) as listener:
        yield listener, address


async def generate_chunks(count: int) -> AsyncIterator[bytes]:
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
                None, call_body.SinglePassStream(generate_chunks(4))
            ),
            4 * LONG_BYTES,
            id="streamed",
        ),
    ],
)
async def test_body_is_echoed_unchanged_on_one_connection(
    make_body: Callable[[], call_body.Body], size_bytes: int
) -> None:
    handler = Handler()
    async with (
        run_listener(handler) as (_, address),
        frame_pool.FramePool() as connections,
    ):
        for _ in range(2):
            message = frames.Message(b"call", make_body())
            async with connections.send(
                address, message, TIMEOUT_MS
            ) as received:
                assert len(await read(received.body)) == size_bytes
        assert connections.opened_count == 1


async def test_cancelled_exchange_cancels_handler() -> None:
    handler = Handler()
    handler.is_slow = True
    async with (
        run_listener(handler) as (listener, address),
        frame_pool.FramePool() as connections,
    ):
        exchange_task = asyncio.create_task(exchange(connections, address))
        await deployments.wait_until(lambda: bool(handler.received_heads))
        assert not listener.is_idle
        exchange_task.cancel()
        await asyncio.gather(exchange_task, return_exceptions=True)
        await deployments.wait_until(lambda: not listener.connections)
        assert handler.cancelled_count == 1
        assert listener.is_idle


async def test_failing_handler_ends_connection() -> None:
    handler = Handler()
    handler.is_failing = True
    async with (
        run_listener(handler) as (_, address),
        frame_pool.FramePool() as connections,
    ):
        with pytest.raises(errors.ConnectionBrokenError):
            await exchange(connections, address)


async def test_draining_listener_closes_connection_after_each_answer() -> None:
    handler = Handler()
    async with (
        run_listener(handler) as (listener, address),
        frame_pool.FramePool() as connections,
    ):
        listener.is_draining = True
        for _ in range(2):
            assert await exchange(connections, address) == b"body"
        assert connections.opened_count == 2


# Guards against calls that are sent on further silent connections one by one,
# after a time-out has shown that connections to a daemon have gone silent.
async def test_call_after_a_time_out_uses_a_new_connection() -> None:
    async def send(timeout_ms: float) -> None:
        async with connections.send(address, MESSAGE, timeout_ms):
            pass

    # Each connection is silent after its first answer.
    async with (
        scripted.run_scripted(Read(), Send(ANSWER)) as (server, address),
        frame_pool.FramePool() as connections,
    ):
        await asyncio.gather(*(send(TIMEOUT_MS) for _ in range(3)))
        assert server.connection_count == 3
        with pytest.raises(errors.AnswerTimeoutError):
            await send(100.0)
        await send(TIMEOUT_MS)
        assert server.connection_count == 4
