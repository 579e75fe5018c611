"""Bodies of requests and answers, buffered or streamed."""

from collections.abc import AsyncIterator
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BufferedBody:
    """A body held in memory, which can be sent more than once."""

    data: bytes


class SinglePassStream:
    """Chunks that can be read once; records whether reading has begun."""

    def __init__(self, chunks: AsyncIterator[bytes]) -> None:
        self._chunks = chunks
        self.is_started = False

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Returns the stream, which is its own iterator."""
        return self

    async def __anext__(self) -> bytes:
        """Reads the next chunk."""
        self.is_started = True
        return await anext(self._chunks)


@dataclasses.dataclass(frozen=True, slots=True)
class StreamedBody:
    """A body that is read chunk by chunk from its sender.

    It can be sent only once, since chunks are not kept. `length_bytes` is the
    length that the sender announced, None when it announced none.
    """

    length_bytes: int | None
    chunks: AsyncIterator[bytes]


Body = BufferedBody | StreamedBody

EMPTY = BufferedBody(b"")


def get_length_bytes(body: Body) -> int | None:
    """Returns the length of a body, None if a stream announced none."""
    match body:
        case BufferedBody(data):
            return len(data)
        case StreamedBody(length_bytes, _):
            return length_bytes


def is_buffered(body: Body) -> bool:
    """Tells whether a body is held in memory."""
    match body:
        case BufferedBody():
            return True
        case StreamedBody():
            return False


def is_resendable(body: Body) -> bool:
    """Tells whether a body can still be sent whole after an attempt.

    That holds for a stream only if its chunks are a `SinglePassStream` and
    reading has not begun.
    """
    match body:
        case BufferedBody():
            return True
        case StreamedBody(_, SinglePassStream() as chunks):
            return not chunks.is_started
        case StreamedBody():
            return False
