"""A server for HTTP/1.1 requests."""

import collections
from collections.abc import Awaitable, Callable

import httptools

from kumquatridge import clock
from kumquatridge.admission import connection_limits
from kumquatridge.calls import body as call_body
from kumquatridge.telemetry import events
from kumquatridge.transport import errors
from kumquatridge.transport import incoming_request
from kumquatridge.transport import messages
from kumquatridge.transport import server
from kumquatridge.transport import write_buffer

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Asks for a tunnel, which ends HTTP on the connection.
CONNECT = "CONNECT"
# Requests that a client may send before the earlier ones are answered.
MAX_PIPELINED = 16
# Bytes of a header line beside name and value, at least: ":" and CRLF.
HEADER_OVERHEAD_BYTES = 3
# Header lines that a short request may have.
SHORT_HEADER_COUNT = 32


class Responder:
    """Sends the answer to one request.

    `is_answered` is True once an answer was begun, or the connection aborted.
    `is_broken` is True if the connection was aborted, with or without a part of
    the answer.
    """

    def __init__(
        self, connection: "_ServerConnection", keeps_alive: bool
    ) -> None:
        self._connection = connection
        self._keeps_alive = keeps_alive
        self.is_answered = False
        self.is_broken = False

    @property
    def request_bytes(self) -> int:
        """Returns the memory of the request, with its headers and body."""
        return self._connection.answering_bytes

    @property
    def is_request_small(self) -> bool:
        """Returns whether the request needn't ask for memory."""
        return self.request_bytes <= connection_limits.SMALL_REQUEST_BYTES

    async def send(self, answer: messages.Answer) -> None:
        """Sends an answer; returns once a streamed body is written to its end.

        If the body fails, the connection is aborted, so that the client
        doesn't take the answer for complete.

        Raises:
          BrokenBodyError: the source of the body failed.
        """
        self.is_answered = True
        closes = not self._keeps_alive or self._connection.closes_after_answer
        head = messages.encode_answer_head(answer, closes=closes)
        match answer.body:
            case call_body.BufferedBody(data):
                self._connection.write(head + data)
            case call_body.StreamedBody():
                self._connection.write(head)
                await self._send_stream(answer.body)
        if closes:
            self._connection.finish()

    def abort(self) -> None:
        """Aborts the connection without an answer."""
        self.is_answered = True
        self.is_broken = True
        self._connection.transport.abort()

    async def _send_stream(self, body: call_body.StreamedBody) -> None:
        chunked = messages.is_chunked(body)
        try:
            async for chunk in body.chunks:
                self._connection.write(
                    messages.encode_chunk(chunk) if chunked else chunk
                )
                await self._connection.writable.wait()
        except BaseException:
            self.is_broken = True
            self._connection.transport.abort()
            raise
        if chunked:
            self._connection.write(messages.LAST_CHUNK)


Handler = Callable[[messages.Request, Responder], Awaitable[None]]


class _ServerConnection(server.ServerConnection):
    """A connection from an HTTP client."""

    def __init__(self, listener: server.Listener, handler: Handler) -> None:
        super().__init__(listener)
        self._handler = handler
        self._parser = httptools.HttpRequestParser(self)
        # The request that is being received.
        self._incoming: incoming_request.IncomingRequest | None = None
        self._raw_headers: list[tuple[bytes, bytes]] = []
        # Whether the parser is fed a head whose request is already known.
        self._is_repeating_head = False
        # Requests whose handling has not begun.
        self._pending: collections.deque[incoming_request.IncomingRequest] = (
            collections.deque()
        )
        # The request in progress.
        self._answering: incoming_request.IncomingRequest | None = None
        # Status of the answer to a request that can't be accepted.
        self._fault_status: int | None = None
        self._is_finished = False

    @property
    def _has_request(self) -> bool:
        """Returns whether a request is in progress, queued or incomplete."""
        return bool(self.is_answering or self._pending or self._incoming)

    @property
    def answering_bytes(self) -> int:
        """Returns the memory of the request in progress."""
        return 0 if self._answering is None else self._answering.held_bytes

    @property
    def _waiting_bytes(self) -> int:
        incoming = self._incoming
        if incoming is None and not self._pending:
            return 0
        waiting_bytes = sum(request.held_bytes for request in self._pending)
        if incoming is not None and not incoming.is_queued:
            waiting_bytes += incoming.held_bytes
        return waiting_bytes

    @property
    def _awaits_body(self) -> bool:
        answering = self._answering
        return answering is not None and answering.body.awaits_sender

    def check_timeouts(self, now_ms: float) -> None:
        """Closes a connection idle for too long; answers 408 to a slow head."""
        incoming = self._incoming
        if self.is_answering or incoming is None or incoming.method:
            super().check_timeouts(now_ms)
            return
        limit_ms = self._listener.settings.header_timeout_ms
        if now_ms - self._last_activity_ms > limit_ms + server.CHECK_MARGIN_MS:
            self._reject(408)

    async def _serve(self) -> None:
        while True:
            while not self._pending:
                if self._fault_status is not None:
                    self._reject(self._fault_status)
                    return
                self._input_arrived.clear()
                await self._input_arrived.wait()
            self.is_answering = True
            incoming = self._pending.popleft()
            await self._answer(incoming)
            self._answering = None
            self._record_answered()
            if self._is_finished:
                return
            if not incoming.body.is_complete:
                # The rest of the body is not read, so no request can follow it.
                self.finish()
                return
            await self.writable.wait()

    async def _answer(self, incoming: incoming_request.IncomingRequest) -> None:
        self._answering = incoming
        request = incoming.make_request()
        keeps_alive = incoming.keeps_alive and incoming.body.is_complete
        responder = Responder(self, keeps_alive)
        try:
            await self._handler(request, responder)
        except errors.BrokenBodyError as error:
            events.log(events.AnswerCut(request.target, str(error)))
        except Exception as error:
            events.log(events.RequestFailed(request.target, repr(error)))
            if not responder.is_answered:
                await responder.send(_make_empty_answer(500))
        if responder.is_broken:
            self._is_finished = True

    def _reject(self, status: int) -> None:
        """Answers a request that can't be accepted; closes the connection."""
        answer = _make_empty_answer(status)
        self.write(messages.encode_answer_head(answer, closes=True))
        self.finish()

    # Callbacks of asyncio.Protocol.

    def data_received(self, data: bytes) -> None:
        """Parses bytes; everything after a malformed request is ignored."""
        if self._fault_status is not None or self._is_finished:
            return
        if not self._accepts_overhead(len(data)):
            self._fail(431)
            return
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self._fail(400)
            return
        incoming = self._incoming
        if incoming is not None and not incoming.method:
            self._check_head_size(incoming, len(data))
        if not self._is_short_request(len(data)):
            self._progress.record(len(data))
            self._report_usage()

    def _is_short_request(self, size_bytes: int) -> bool:
        """Returns whether the bytes just received are one short request."""
        return (
            size_bytes <= write_buffer.SHORT_BYTES
            and self._incoming is None
            and len(self._pending) == 1
            and self._pending[0].header_count <= SHORT_HEADER_COUNT
        )

    def _parse(self, data: bytes) -> None:
        """Parses bytes; declines each offer to change to another protocol.

        The parser takes a request with such an offer for complete after its
        head, and stops there.
        """
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                (parsed_bytes,) = offer.args
                data = data[parsed_bytes:]
                self._decline_offer()

    def _decline_offer(self) -> None:
        """Continues after the head of a request as if it had no offer.

        A new parser is fed the head again, without the offer.
        """
        incoming = self._incoming
        assert incoming is not None
        self._parser = httptools.HttpRequestParser(self)
        self._is_repeating_head = True
        try:
            self._parser.feed_data(
                messages.encode_framing(incoming.method, incoming.headers)
            )
        finally:
            self._is_repeating_head = False

    def _accepts_overhead(self, size_bytes: int) -> bool:
        """Returns whether a body may be followed by further bytes.

        Chunk extensions and trailers may be as long as a head. The parser keeps
        the start of an incomplete line, which it does not report.
        """
        incoming = self._incoming
        if incoming is None or not incoming.method:
            return True
        limit_bytes = self._listener.settings.max_header_bytes
        is_accepted = incoming.overhead_bytes <= limit_bytes
        incoming.overhead_bytes += size_bytes
        return is_accepted

    def _check_head_size(
        self, incoming: incoming_request.IncomingRequest, size_bytes: int
    ) -> None:
        """Rejects a head that exceeds the limit before it is complete."""
        incoming.received_bytes += size_bytes
        if incoming.received_bytes > self._listener.settings.max_header_bytes:
            self._fail(431)

    def _discard_input(self) -> None:
        self._is_finished = True
        self._pending.clear()
        self._raw_headers = []
        incoming, self._incoming = self._incoming, None
        if incoming is not None:
            incoming.body.fail(errors.BrokenBodyError("closed"))
            incoming.body.discard()

    def _fail_body(self, fault: errors.BrokenBodyError) -> None:
        if self._incoming is not None:
            self._incoming.body.fail(fault)

    def _fail(self, status: int) -> None:
        """Stops parsing; the status is sent after the answers still due."""
        if self._fault_status is not None:
            return
        self._fault_status = status
        self._fail_body(errors.BrokenBodyError("malformed body"))
        self._input_arrived.set()

    # Callbacks of the HTTP parser. An exception in one of them stops the parser
    # and reaches `data_received` as an HttpParserError.

    def on_message_begin(self) -> None:
        """Starts a request; the time-out of its head runs from here."""
        if self._is_repeating_head:
            return
        self._incoming = incoming_request.IncomingRequest(
            self.transport, self._listener.settings.max_buffered_bytes
        )
        self._raw_headers = []
        self._last_activity_ms = clock.get_now_ms()

    def on_url(self, url: bytes) -> None:
        """Adds a part of the request target."""
        if self._is_repeating_head:
            return
        incoming = self._incoming
        assert incoming is not None
        incoming.target += url
        incoming.head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header or a trailer."""
        if self._is_repeating_head:
            return
        incoming = self._incoming
        assert incoming is not None
        incoming.head_bytes += len(name) + len(value) + HEADER_OVERHEAD_BYTES
        self._check_head_bytes(incoming)
        if not incoming.method:
            incoming.header_count += 1
            self._raw_headers.append((name, value))

    def _check_head_bytes(
        self, incoming: incoming_request.IncomingRequest
    ) -> None:
        """Stops the parser if target, headers and trailers are too long."""
        if incoming.head_bytes > self._listener.settings.max_header_bytes:
            self._fail(431)
            raise errors.TransportError(
                "request head is larger than max_header_bytes"
            )

    def on_headers_complete(self) -> None:
        """Checks the head; sends 100 Continue if the client expects it."""
        if self._is_repeating_head:
            return
        incoming = self._incoming
        assert incoming is not None
        incoming.method = self._parser.get_method().decode("latin-1")
        if incoming.method == CONNECT:
            raise errors.TransportError("tunnels are not supported")
        incoming.keeps_alive = self._parser.should_keep_alive()
        self._check_head_bytes(incoming)
        incoming.headers = messages.decode_headers(self._raw_headers)
        self._raw_headers = []
        fields = dict(incoming.headers)
        length = fields.get("content-length")
        if length is not None:
            incoming.length_bytes = int(length)
            if int(length) > self._listener.settings.max_body_bytes:
                self._fail(413)
                raise errors.TransportError(
                    "content-length is larger than max_body_bytes"
                )
        if "expect" in fields:
            self.write(CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Adds a part of the body."""
        incoming = self._incoming
        assert incoming is not None
        incoming.overhead_bytes = 0
        incoming.body.add(data)
        if incoming.body.is_ready:
            self._enqueue(incoming)

    def on_message_complete(self) -> None:
        """Completes the request, unless its body is still to be parsed."""
        if self._parser.should_upgrade():
            return
        incoming = self._incoming
        assert incoming is not None
        incoming.body.complete()
        self._enqueue(incoming)
        self._incoming = None
        if len(self._pending) > MAX_PIPELINED:
            raise errors.TransportError(
                f"more than {MAX_PIPELINED} pipelined requests are waiting"
            )

    def _enqueue(self, incoming: incoming_request.IncomingRequest) -> None:
        """Passes a request to the task, once its body is complete or long."""
        if not incoming.is_queued:
            incoming.is_queued = True
            self._pending.append(incoming)
            self._input_arrived.set()


class HttpListener(server.Listener):
    """Listens for HTTP/1.1 requests."""

    def __init__(
        self,
        address: str,
        handler: Handler,
        settings: server.ListenerSettings | None = None,
        limiter: connection_limits.ConnectionLimiter | None = None,
    ) -> None:
        super().__init__(address, settings, limiter)
        self._handler = handler

    def _make_connection(self) -> _ServerConnection:
        return _ServerConnection(self, self._handler)


def _make_empty_answer(status: int) -> messages.Answer:
    return messages.Answer(status, (), call_body.EMPTY)
