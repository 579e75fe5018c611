"""Framing of the messages that daemons exchange on dedicated connections.

A message has a head, which is opaque to this module, and a body. A short
message is a single frame; a longer body follows the head in several frames as
it becomes available. A connection carries one message and its answer at a
time, so that TCP provides back-pressure, and closing the connection cancels
the exchange.

A frame consists of its type (one byte), the length of the head and the length
of the body (four bytes each, big-endian), the head and the body. In the first
frame of a streamed message, the second length is that of the whole body, which
follows in other frames.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import enum
import struct

from kumquatridge.calls import body as call_body
from kumquatridge.transport import errors
from kumquatridge.transport import incoming_body

# Frame type, length of the head and length of the body.
HEADER = struct.Struct(">BII")
# A frame holds a head and a body short enough to be buffered, both bounded by
# the limits of the routes. If the lengths in a frame add up to more, the peer
# does not speak this protocol.
MAX_FRAME_BYTES = 4 * 1024 * 1024
# A head has the headers of a request or an answer, which are bounded by
# `ListenerSettings.max_header_bytes` and `connection.MAX_OVERHEAD_BYTES`.
MAX_HEAD_BYTES = 512 * 1024
# Memory of the headers in a head, once decoded, for each byte of it: a pair of
# strings of one byte takes five bytes in MessagePack, and 170 as objects.
HEAD_MEMORY_RATIO = 34
# A buffered body that is longer is sent in parts of this size. The limit is
# twice the size up to which a receiver buffers a body.
MAX_WHOLE_BODY_BYTES = 2 * incoming_body.MAX_BUFFERED_BYTES
# Sent as the length of a body whose length is not known in advance.
UNKNOWN_LENGTH = 0xFFFFFFFF


class FrameType(enum.IntEnum):
    """The type of a frame: a whole message, or a part of a streamed one.

    WHOLE and LAST frames are whole messages. STREAMED and LAST_STREAMED frames
    are the heads of messages whose body follows in PART frames, up to an END
    frame. After a LAST or LAST_STREAMED message, its sender closes the
    connection.
    """

    WHOLE = 1
    STREAMED = 2
    PART = 3
    END = 4
    LAST = 5
    LAST_STREAMED = 6


_STREAMED_TYPES = frozenset((FrameType.STREAMED, FrameType.LAST_STREAMED))
_LAST_TYPES = frozenset((FrameType.LAST, FrameType.LAST_STREAMED))


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A message; `is_last` if its sender closes the connection after it."""

    head: bytes
    body: call_body.Body
    is_last: bool = False


class FrameReader:
    """Parses received bytes and delivers messages.

    Reading from the connection pauses while a streamed body is not consumed.
    """

    def __init__(
        self,
        flow_control: incoming_body.FlowControl,
        deliver: Callable[[Message], None],
    ) -> None:
        self._flow_control = flow_control
        self._deliver = deliver
        # The start of a frame that has not been received completely, and the
        # length from which on it can be parsed further.
        self._unparsed = bytearray()
        self._awaited_bytes = HEADER.size
        # The body of a streamed message until its END frame, and its length if
        # known; the bytes of it received so far.
        self._stream: incoming_body.IncomingBody | None = None
        self._stream_length_bytes: int | None = None
        self._stream_received_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Returns the memory of an incomplete frame and of a streamed body."""
        stream_bytes = 0 if self._stream is None else self._stream.held_bytes
        return self._unparsed.__alloc__() + stream_bytes

    @property
    def awaits_sender(self) -> bool:
        """Returns whether the reader of a streamed body waits for bytes."""
        return self._stream is not None and self._stream.awaits_sender

    @property
    def is_at_boundary(self) -> bool:
        """Returns whether all received messages are complete."""
        return self._stream is None and not self._unparsed

    def feed(self, data: bytes) -> None:
        """Parses bytes and delivers the messages that they complete.

        Raises:
          ProtocolError: the bytes are not a valid sequence of frames.
        """
        if self._unparsed:
            self._unparsed += data
            if len(self._unparsed) < self._awaited_bytes:
                return
            data = bytes(self._unparsed)
            self._unparsed.clear()
        start = 0
        self._awaited_bytes = HEADER.size
        while len(data) - start >= HEADER.size:
            frame_type, head_bytes, body_bytes = HEADER.unpack_from(data, start)
            if frame_type in _STREAMED_TYPES:
                end = start + HEADER.size + head_bytes
            else:
                end = start + HEADER.size + head_bytes + body_bytes
            if end - start > MAX_FRAME_BYTES or head_bytes > MAX_HEAD_BYTES:
                raise errors.ProtocolError("a frame too long")
            if end > len(data):
                self._awaited_bytes = end - start
                break
            head_end = start + HEADER.size + head_bytes
            head = data[start + HEADER.size : head_end]
            self._handle_frame(frame_type, head, data[head_end:end], body_bytes)
            start = end
        self._unparsed += data[start:]

    def _handle_frame(
        self, frame_type: int, head: bytes, body: bytes, length_bytes: int
    ) -> None:
        """Handles a complete frame.

        `length_bytes` is the second length in the frame: for the head of a
        streamed message it is the length of the whole body.
        """
        stream = self._stream
        match frame_type, stream:
            case FrameType.WHOLE | FrameType.LAST, None:
                self._deliver(
                    Message(
                        head,
                        call_body.BufferedBody(body),
                        frame_type == FrameType.LAST,
                    )
                )
            case FrameType.STREAMED | FrameType.LAST_STREAMED, None:
                self._begin_streamed(frame_type, head, length_bytes)
            case FrameType.PART, incoming_body.IncomingBody() if body:
                self._add_part(stream, body)
            case FrameType.END, incoming_body.IncomingBody():
                self._end_streamed(stream)
            case _:
                raise errors.ProtocolError(f"frame of kind {frame_type}")

    def _begin_streamed(
        self, frame_type: int, head: bytes, length_bytes: int
    ) -> None:
        self._stream = incoming_body.IncomingBody(self._flow_control)
        known_length_bytes = (
            None if length_bytes == UNKNOWN_LENGTH else length_bytes
        )
        self._stream_length_bytes = known_length_bytes
        self._stream_received_bytes = 0
        body = self._stream.make_body(known_length_bytes)
        self._deliver(Message(head, body, frame_type in _LAST_TYPES))

    def _add_part(
        self, stream: incoming_body.IncomingBody, body: bytes
    ) -> None:
        self._stream_received_bytes += len(body)
        length_bytes = self._stream_length_bytes
        if (
            length_bytes is not None
            and self._stream_received_bytes > length_bytes
        ):
            raise errors.ProtocolError(f"a body longer than {length_bytes} B")
        stream.add(body)

    def _end_streamed(self, stream: incoming_body.IncomingBody) -> None:
        length_bytes = self._stream_length_bytes
        if length_bytes not in (None, self._stream_received_bytes):
            raise errors.ProtocolError(f"a body shorter than {length_bytes} B")
        self._stream = None
        stream.complete()

    def fail(self, fault: errors.BrokenBodyError) -> None:
        """Ends a partly received body with an error."""
        if self._stream is not None:
            self._stream.fail(fault)

    def discard(self) -> None:
        """Drops what was received of an incomplete frame and body."""
        self._unparsed = bytearray()
        if self._stream is not None:
            self._stream.discard()


def get_held_bytes(message: Message) -> int:
    """Returns the memory of a message, without a body that is streamed."""
    head_bytes = len(message.head) * HEAD_MEMORY_RATIO
    match message.body:
        case call_body.BufferedBody(data):
            return head_bytes + len(data)
        case call_body.StreamedBody():
            return head_bytes


async def write(
    write_bytes: Callable[[bytes], None],
    writable: asyncio.Event,
    message: Message,
) -> None:
    """Writes a message; returns once a streamed body is written to its end.

    `writable` is cleared while too many bytes wait to be sent.

    Raises:
      BrokenBodyError: the source of the body failed.
    """
    match message.body:
        case call_body.BufferedBody(data) if len(data) <= MAX_WHOLE_BODY_BYTES:
            frame_type = FrameType.LAST if message.is_last else FrameType.WHOLE
            write_bytes(_encode(frame_type, message.head, data))
        case call_body.BufferedBody(data):
            write_bytes(_encode_stream_head(message, len(data)))
            for start in range(0, len(data), MAX_WHOLE_BODY_BYTES):
                part = data[start : start + MAX_WHOLE_BODY_BYTES]
                write_bytes(_encode(FrameType.PART, b"", part))
            write_bytes(_encode(FrameType.END))
        case call_body.StreamedBody(length_bytes, chunks):
            write_bytes(_encode_stream_head(message, length_bytes))
            async for chunk in chunks:
                await writable.wait()
                write_bytes(_encode(FrameType.PART, b"", chunk))
            write_bytes(_encode(FrameType.END))


def _encode_stream_head(message: Message, length_bytes: int | None) -> bytes:
    """Returns the head of a message whose body follows in parts."""
    frame_type = (
        FrameType.LAST_STREAMED if message.is_last else FrameType.STREAMED
    )
    length_bytes = UNKNOWN_LENGTH if length_bytes is None else length_bytes
    header = HEADER.pack(frame_type, len(message.head), length_bytes)
    return header + message.head


def _encode(
    frame_type: FrameType, head: bytes = b"", body: bytes = b""
) -> bytes:
    return HEADER.pack(frame_type, len(head), len(body)) + head + body
