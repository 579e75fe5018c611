"""Messages between daemons on a connection of their own.

A message has a head, which this module doesn't look into, and a body. A whole
one is a single frame; the body of a long one follows in parts as it arrives.
One message and its answer use a connection at a time, so that TCP carries
back-pressure, and a cancellation is the end of the connection.

A frame: its kind, the length of the head, that of the body (both big-endian),
head, body.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import struct

from kumquatridge.calls import body as call_body
from kumquatridge.transport import errors
from kumquatridge.transport import inbox

HEADER = struct.Struct(">BII")
# A frame holds headers and a body that is short enough to be read whole, each
# bounded by the routes' own limits; a longer frame is no message of ours.
MAX_FRAME_BYTES = 4 * 1024 * 1024
# A longer body is sent in parts, also when it is at hand; twice what is read
# whole as a rule.
WHOLE_BYTES = 2 * inbox.BUFFERED_BYTES
# In place of the length of a body whose sender announced none.
UNKNOWN_LENGTH = 0xFFFFFFFF


class Kind(enum.IntEnum):
    """What a frame holds.

    LAST and LAST_STREAMED end the connection with the message's own end.
    """

    WHOLE = 1
    STREAMED = 2
    PART = 3
    END = 4
    LAST = 5
    LAST_STREAMED = 6


_STREAMED_KINDS = frozenset((Kind.STREAMED, Kind.LAST_STREAMED))
_LAST_KINDS = frozenset((Kind.LAST, Kind.LAST_STREAMED))


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A message that is sent or has arrived; `is_last` as in `Kind`."""

    head: bytes
    body: call_body.Body
    is_last: bool = False


class Reader:
    """Takes bytes as they arrive and delivers messages.

    A streamed body holds up the whole flow while nobody reads it.
    """

    def __init__(
        self, flow: inbox.Flow, deliver: Callable[[Message], None]
    ) -> None:
        self._flow = flow
        self._deliver = deliver
        self._waiting = b""
        self._stream: inbox.BodyInbox | None = None

    @property
    def is_between(self) -> bool:
        """Tells whether no message has begun that hasn't ended."""
        return self._stream is None and not self._waiting

    def feed(self, data: bytes) -> None:
        """Takes bytes.

        Raises:
          MalformedAnswerError: they are no frames.
        """
        if self._waiting:
            data = self._waiting + data
        start = 0
        while len(data) - start >= HEADER.size:
            kind, head_bytes, body_bytes = HEADER.unpack_from(data, start)
            if kind in _STREAMED_KINDS:
                end = start + HEADER.size + head_bytes
            else:
                end = start + HEADER.size + head_bytes + body_bytes
            if end - start > MAX_FRAME_BYTES:
                raise errors.MalformedAnswerError("a frame too long")
            if end > len(data):
                break
            middle = start + HEADER.size + head_bytes
            head = data[start + HEADER.size : middle]
            self._take(kind, head, data[middle:end], body_bytes)
            start = end
        self._waiting = data[start:] if start else data

    def _take(
        self, kind: int, head: bytes, body: bytes, length_bytes: int
    ) -> None:
        stream = self._stream
        match kind, stream:
            case Kind.WHOLE | Kind.LAST, None:
                self._deliver(
                    Message(
                        head, call_body.BufferedBody(body), kind == Kind.LAST
                    )
                )
            case Kind.STREAMED | Kind.LAST_STREAMED, None:
                self._begin(kind, head, length_bytes)
            case Kind.PART, inbox.BodyInbox():
                stream.add(body)
            case Kind.END, inbox.BodyInbox():
                self._stream = None
                stream.complete()
            case _:
                raise errors.MalformedAnswerError(f"frame of kind {kind}")

    def _begin(self, kind: int, head: bytes, length_bytes: int) -> None:
        self._stream = inbox.BodyInbox(self._flow)
        known = None if length_bytes == UNKNOWN_LENGTH else length_bytes
        body = self._stream.hand_over(known)
        self._deliver(Message(head, body, kind in _LAST_KINDS))

    def fail(self, fault: errors.BrokenBodyError) -> None:
        """Breaks off a body that is being read."""
        if self._stream is not None:
            self._stream.fail(fault)


async def write(
    transport: asyncio.WriteTransport,
    writable: asyncio.Event,
    message: Message,
) -> None:
    """Writes a message; a streamed body is sent to its end.

    Raises:
      BrokenBodyError: the body broke off.
    """
    match message.body:
        case call_body.BufferedBody(data) if len(data) <= WHOLE_BYTES:
            kind = Kind.LAST if message.is_last else Kind.WHOLE
            transport.write(_encode(kind, message.head, data))
        case call_body.BufferedBody(data):
            _write_head(transport, message, len(data))
            for start in range(0, len(data), WHOLE_BYTES):
                part = data[start : start + WHOLE_BYTES]
                transport.write(_encode(Kind.PART, b"", part))
            transport.write(_encode(Kind.END))
        case call_body.StreamedBody(length_bytes, chunks):
            _write_head(transport, message, length_bytes)
            async for chunk in chunks:
                await writable.wait()
                transport.write(_encode(Kind.PART, b"", chunk))
            transport.write(_encode(Kind.END))


def _write_head(
    transport: asyncio.WriteTransport,
    message: Message,
    length_bytes: int | None,
) -> None:
    """Writes the head of a message whose body comes in parts."""
    kind = Kind.LAST_STREAMED if message.is_last else Kind.STREAMED
    length_bytes = UNKNOWN_LENGTH if length_bytes is None else length_bytes
    header = HEADER.pack(kind, len(message.head), length_bytes)
    transport.write(header + message.head)


def _encode(kind: Kind, head: bytes = b"", body: bytes = b"") -> bytes:
    return HEADER.pack(kind, len(head), len(body)) + head + body
