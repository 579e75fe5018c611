"""A client connection for HTTP/1.1, with one request at a time."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import cast

import httptools

from kumquatridge import clock
from kumquatridge.admission import connection_limits
from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.telemetry import events
from kumquatridge.transport import client_connection
from kumquatridge.transport import errors
from kumquatridge.transport import incoming_body
from kumquatridge.transport import memory
from kumquatridge.transport import messages
from kumquatridge.transport import write_buffer

# Answers with lower statuses are interim; the answer proper follows them.
FIRST_FINAL_STATUS = 200
# The statuses that HTTP has (RFC 9110, section 15). A server in trouble may
# send others.
STATUSES = range(100, 600)
BODILESS_STATUSES = frozenset((204, 304))
# Limit on the answers to other requests that are skipped before the expected
# one; a server that sends more gets its connection closed.
MAX_MISMATCHED_ANSWERS = 4
# Limit on the bytes received without a byte of the expected body: heads,
# interim and skipped answers, chunk extensions and trailers. No head in the
# sample deployments exceeds 16 KiB, and no skipped answer 64 KiB.
MAX_OVERHEAD_BYTES = 256 * 1024

# Limit on the header lines of an answer, trailers included. Each takes about
# 200 bytes of memory, however short it is.
MAX_HEADERS = 1000

MAX_PORT = 65535

# Decides by its headers whether an answer is the one to the request in
# progress.
AnswerFilter = Callable[[outcomes.Headers], bool]


def accept_any(headers: outcomes.Headers) -> bool:
    """Accepts every answer as the one to the request in progress."""
    del headers
    return True


class _IncomingAnswer:
    """An answer that is being received."""

    def __init__(self, flow_control: incoming_body.FlowControl) -> None:
        self.status = 0
        self.raw_headers: list[tuple[bytes, bytes]] = []
        # Header lines, trailers included.
        self.header_count = 0
        self.headers: outcomes.Headers = ()
        self.body = incoming_body.IncomingBody(flow_control)
        self.is_head_complete = False
        # Set for an interim answer and for one to another request.
        self.is_ignored = False
        # Whether the close of the connection marks the end of the body.
        self.ends_with_connection = False


class Connection(client_connection.ClientConnection[_IncomingAnswer]):
    """Sends requests one after the other and reads their answers.

    The connection is not reused after an unsolicited answer or an answer to
    another request, since later answers could be attributed wrongly.
    """

    def __init__(
        self, limiter: connection_limits.ConnectionLimiter | None = None
    ) -> None:
        super().__init__(limiter)
        self._parser = httptools.HttpResponseParser(self)
        # The answer that is being received, or the last one received.
        self._answer: _IncomingAnswer | None = None
        self._accepts: AnswerFilter = accept_any
        self._mismatched_count = 0
        # Bytes received since the last byte of the expected body.
        self._overhead_bytes = 0
        self._keeps_alive = True
        self.request_count = 0

    @property
    def _is_ready_for_next(self) -> bool:
        return self._keeps_alive and self._is_fully_answered

    @property
    def _is_fully_answered(self) -> bool:
        """Returns whether all requests, also abandoned ones, are answered."""
        if self._answer is None:
            return self.request_count == 0
        return not self._answer.is_ignored and self._answer.body.is_complete

    async def send(
        self, request: messages.Request, accepts: AnswerFilter, timeout_s: float
    ) -> messages.Answer:
        """Sends a request and waits for its answer.

        Raises:
          ConnectError: the connection had ended; nothing was sent.
          TransportError: no answer was received.
        """
        self._check_open()
        self.request_count += 1
        self._answer = None
        self._accepts = accepts
        self._mismatched_count = 0
        self._overhead_bytes = 0
        self._expect_answer()
        self._send(request)
        incoming = await self._wait_for_answer(timeout_s)
        headers = incoming.headers
        length = messages.find_header(headers, "content-length")
        body = incoming.body.make_body(int(length) if length else None)
        return messages.Answer(incoming.status, headers, body)

    def _send(self, request: messages.Request) -> None:
        head = messages.encode_request_head(request)
        match request.body:
            case call_body.BufferedBody(data):
                self._write(head + data)
            case call_body.StreamedBody():
                self._write(head)
                self._send_task = asyncio.create_task(
                    self._write_stream(request.body)
                )

    async def _write_stream(self, body: call_body.StreamedBody) -> None:
        chunked = messages.is_chunked(body)
        try:
            async for chunk in body.chunks:
                await self._writable.wait()
                self._write(messages.encode_chunk(chunk) if chunked else chunk)
        except errors.TransportError as error:
            self.fail(errors.ConnectionBrokenError(f"body: {error}"))
            return
        if chunked:
            self._write(messages.LAST_CHUNK)

    @property
    def _received_bytes(self) -> int:
        answer = self._answer
        if answer is None:
            return 0
        return (
            answer.header_count * memory.HEADER_LINE_BYTES
            + self._overhead_bytes
            + answer.body.held_bytes
        )

    def _fail_body(self, fault: errors.BrokenBodyError) -> None:
        if self._answer is not None:
            self._answer.body.fail(fault)

    # Callbacks of asyncio.Protocol.

    def data_received(self, data: bytes) -> None:
        """Parses bytes; ends the connection if no answer is due."""
        if self._answer_future is None and self._is_fully_answered:
            self.fail(errors.ProtocolError("bytes after the answer"))
            return
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self.fail(errors.ProtocolError("too many bytes without an answer"))
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            UnicodeDecodeError,
        ) as error:
            self._handle_parse_error(error)
        answer = self._answer
        if (
            len(data) > write_buffer.SHORT_BYTES
            or answer is None
            or not answer.body.is_complete
        ):
            self._record_received(len(data))

    def _handle_parse_error(self, error: Exception) -> None:
        """Fails the exchange, unless its answer is already complete."""
        answer = self._answer
        if answer is not None and answer.body.is_complete:
            self._keeps_alive = False
            return
        self.fail(errors.ProtocolError(str(error)))

    def eof_received(self) -> bool:
        """Completes an answer delimited by the close of the connection.

        A server that ends the connection before it has the whole request may
        have been stopped in the middle of its answer.
        """
        answer = self._answer
        if (
            answer is not None
            and answer.is_head_complete
            and answer.ends_with_connection
            and not answer.body.is_complete
            and not self._is_sending
        ):
            self._keeps_alive = False
            self._complete_answer(answer)
        return False

    # Callbacks of the HTTP parser.

    def on_message_begin(self) -> None:
        """Starts an answer; a second one to the same request is an error."""
        if self._answer is not None and not self._answer.is_ignored:
            self._keeps_alive = False
            raise errors.ProtocolError("a second answer")
        transport = cast(asyncio.Transport, self._transport)
        self._answer = _IncomingAnswer(transport)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        answer = self._answer
        assert answer is not None
        if answer.header_count >= MAX_HEADERS:
            raise errors.ProtocolError(f"more than {MAX_HEADERS} header lines")
        answer.header_count += 1
        if not answer.is_head_complete:
            answer.raw_headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Checks whether the answer belongs to the request in progress."""
        answer = self._answer
        assert answer is not None
        answer.status = self._parser.get_status_code()
        if answer.status not in STATUSES:
            raise errors.ProtocolError(f"status {answer.status}")
        headers = messages.decode_headers(answer.raw_headers)
        answer.raw_headers = []
        answer.headers = headers
        answer.is_head_complete = True
        if answer.status < FIRST_FINAL_STATUS:
            answer.is_ignored = True
            return
        if not self._accepts(headers):
            answer.is_ignored = True
            self._mismatched_count += 1
            if self._keeps_alive:
                events.log(events.AnswerSkipped(answer.status))
            self._keeps_alive = False
            if self._mismatched_count > MAX_MISMATCHED_ANSWERS:
                raise errors.ProtocolError("answers to other requests")
            return
        fields = dict(headers)
        answer.ends_with_connection = (
            "content-length" not in fields
            and "transfer-encoding" not in fields
            and answer.status not in BODILESS_STATUSES
        )

    def on_body(self, data: bytes) -> None:
        """Adds a part of the body."""
        answer = self._answer
        assert answer is not None
        if answer.is_ignored:
            return
        self._overhead_bytes = 0
        answer.body.add(data)
        if answer.body.is_ready:
            self._deliver(answer)

    def on_message_complete(self) -> None:
        """Delivers the complete answer; an ignored one is skipped."""
        answer = self._answer
        assert answer is not None
        if answer.is_ignored:
            return
        self._keeps_alive = self._keeps_alive and (
            self._parser.should_keep_alive()
        )
        self._complete_answer(answer)

    def _complete_answer(self, answer: _IncomingAnswer) -> None:
        answer.body.complete()
        self.idle_since_ms = clock.get_now_ms()
        self._deliver(answer)


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """A host and port to connect to."""

    host: str
    port: int

    @classmethod
    def parse(cls, address: str) -> "Endpoint":
        """Parses "host:port".

        Raises:
          ConnectError: the address is not of this form, or the port is not
            between 1 and 65535.
        """
        host, _, port = address.rpartition(":")
        if not (host and port.isascii() and port.isdecimal()):
            raise errors.ConnectError(f"{address!r}: expected host:port")
        if not 0 < int(port) <= MAX_PORT:
            raise errors.ConnectError(f"{address!r}: port out of range")
        return cls(host, int(port))
