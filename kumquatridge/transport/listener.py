"""A server for requests in HTTP."""

import collections
from collections.abc import Awaitable, Callable

import httptools

from kumquatridge import clock
from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.telemetry import events
from kumquatridge.transport import errors
from kumquatridge.transport import inbox
from kumquatridge.transport import messages
from kumquatridge.transport import server

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Requests that a client may send ahead of their answers.
MAX_PIPELINED = 16
# A colon, a space and the end of the line.
SEPARATOR_BYTES = 4


class Responder:
    """Sends the answer to one request."""

    def __init__(self, owner: "_ServerConnection", keeps_alive: bool) -> None:
        self._owner = owner
        self._keeps_alive = keeps_alive
        self.is_answered = False
        self.is_broken = False

    async def send(self, answer: messages.Answer) -> None:
        """Sends an answer; a streamed body is sent to its end.

        A body that breaks off closes the connection, so that nobody takes
        the answer for whole.

        Raises:
          BrokenBodyError: the body broke off.
        """
        self.is_answered = True
        closes = not self._keeps_alive or self._owner.closes_next
        head = messages.encode_answer_head(answer, closes=closes)
        transport = self._owner.transport
        match answer.body:
            case call_body.BufferedBody(data):
                transport.write(head + data)
            case call_body.StreamedBody():
                transport.write(head)
                await self._send_stream(answer.body)
        if closes:
            self._owner.finish()

    def drop(self) -> None:
        """Ends the connection without an answer."""
        self.is_answered = True
        self.is_broken = True
        self._owner.transport.abort()

    async def _send_stream(self, body: call_body.StreamedBody) -> None:
        transport = self._owner.transport
        chunked = messages.is_chunked(body)
        try:
            async for chunk in body.chunks:
                transport.write(
                    messages.encode_chunk(chunk) if chunked else chunk
                )
                await self._owner.writable.wait()
        except BaseException:
            self.is_broken = True
            transport.abort()
            raise
        if chunked:
            transport.write(messages.LAST_CHUNK)


Handler = Callable[[messages.Request, Responder], Awaitable[None]]


class _Arriving:
    """A request that is being read."""

    def __init__(self, flow: inbox.Flow) -> None:
        self.target = b""
        self.headers: outcomes.Headers = ()
        # What arrived before the head's end, and the head as it was parsed.
        self.arrived_bytes = 0
        self.head_bytes = 0
        self.method = ""
        self.keeps_alive = True
        self.length_bytes: int | None = None
        self.body = inbox.BodyInbox(flow)
        self.is_queued = False


class _ServerConnection(server.ServerConnection):
    """One caller's connection."""

    def __init__(self, listener: server.Listener, handler: Handler) -> None:
        super().__init__(listener)
        self._handler = handler
        self._parser = httptools.HttpRequestParser(self)
        self._arriving: _Arriving | None = None
        self._raw_headers: list[tuple[bytes, bytes]] = []
        self._waiting: collections.deque[_Arriving] = collections.deque()
        self._fault_status: int | None = None
        self._is_finished = False

    @property
    def is_idle(self) -> bool:
        """Tells whether no byte of a request is here."""
        return not (self.is_busy or self._waiting or self._arriving)

    def check_timeouts(self, now_ms: float) -> None:
        """Closes a connection that is idle, or slow to send a head."""
        arriving = self._arriving
        if self.is_busy or arriving is None or arriving.method:
            super().check_timeouts(now_ms)
            return
        limit_ms = self._listener.settings.header_timeout_ms
        if now_ms - self._since_ms > limit_ms + server.CHECK_MARGIN_MS:
            self._reject(408)

    def finish(self) -> None:
        """Closes the connection once what was written is sent."""
        self._is_finished = True
        super().finish()

    async def _serve(self) -> None:
        while True:
            while not self._waiting:
                if self._fault_status is not None:
                    self._reject(self._fault_status)
                    return
                self._arrived.clear()
                await self._arrived.wait()
            self.is_busy = True
            arrived = self._waiting.popleft()
            await self._answer(arrived)
            self.is_busy = False
            self._since_ms = clock.get_now_ms()
            if self._is_finished:
                return
            if not arrived.body.is_complete:
                self.finish()
                return
            await self.writable.wait()

    async def _answer(self, arrived: _Arriving) -> None:
        request = messages.Request(
            arrived.method,
            arrived.target.decode("latin-1"),
            arrived.headers,
            arrived.body.hand_over(arrived.length_bytes),
        )
        keeps_alive = arrived.keeps_alive and arrived.body.is_complete
        responder = Responder(self, keeps_alive)
        try:
            await self._handler(request, responder)
        except errors.BrokenBodyError as error:
            events.log(events.AnswerCut(request.target, str(error)))
        except Exception as error:
            events.log(events.RequestFailed(request.target, repr(error)))
            if not responder.is_answered:
                await responder.send(_make_plain(500))
        if responder.is_broken:
            self._is_finished = True

    def _reject(self, status: int) -> None:
        """Answers what can't be read, and closes the connection."""
        answer = _make_plain(status)
        self.transport.write(messages.encode_answer_head(answer, closes=True))
        self.finish()

    # What asyncio calls.

    def data_received(self, data: bytes) -> None:
        """Parses bytes; after a fault the rest is ignored."""
        if self._fault_status is not None or self._is_finished:
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(400)
            return
        arriving = self._arriving
        if arriving is not None and not arriving.method:
            self._bound_head(arriving, len(data))

    def _bound_head(self, arriving: _Arriving, size_bytes: int) -> None:
        """Rejects a head that is too large before its end has come."""
        arriving.arrived_bytes += size_bytes
        if arriving.arrived_bytes > self._listener.settings.max_header_bytes:
            self._fail(431)

    def _break_body(self, fault: errors.BrokenBodyError) -> None:
        if self._arriving is not None:
            self._arriving.body.fail(fault)

    def _fail(self, status: int) -> None:
        if self._fault_status is not None:
            return
        self._fault_status = status
        self._break_body(errors.BrokenBodyError("malformed body"))
        self._arrived.set()

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._arriving = _Arriving(self.transport)
        self._raw_headers = []
        self._since_ms = clock.get_now_ms()

    def on_url(self, url: bytes) -> None:
        """Takes a part of the target."""
        arriving = self._arriving
        assert arriving is not None
        arriving.target += url
        arriving.head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        self._raw_headers.append((name, value))
        arriving = self._arriving
        assert arriving is not None
        arriving.head_bytes += len(name) + len(value) + SEPARATOR_BYTES

    def on_headers_complete(self) -> None:
        """Takes the end of the head; lets the client send the body."""
        arriving = self._arriving
        assert arriving is not None
        arriving.method = self._parser.get_method().decode("latin-1")
        arriving.keeps_alive = self._parser.should_keep_alive()
        if arriving.head_bytes > self._listener.settings.max_header_bytes:
            self._fail(431)
            raise errors.TransportError("headers too large")
        arriving.headers = messages.decode_headers(self._raw_headers)
        fields = dict(arriving.headers)
        length = fields.get("content-length")
        if length is not None:
            arriving.length_bytes = int(length)
            if int(length) > self._listener.settings.max_body_bytes:
                self._fail(413)
                raise errors.TransportError("body too large")
        if "expect" in fields:
            self.transport.write(CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        arriving = self._arriving
        assert arriving is not None
        arriving.body.add(data)
        if arriving.body.is_ready:
            self._queue(arriving)

    def on_message_complete(self) -> None:
        """Takes the end of a request."""
        arriving = self._arriving
        assert arriving is not None
        arriving.body.complete()
        self._queue(arriving)
        self._arriving = None
        if len(self._waiting) > MAX_PIPELINED:
            raise errors.TransportError("too many requests ahead")

    def _queue(self, arriving: _Arriving) -> None:
        if not arriving.is_queued:
            arriving.is_queued = True
            self._waiting.append(arriving)
            self._arrived.set()


class HttpListener(server.Listener):
    """Takes requests in HTTP."""

    def __init__(
        self,
        address: str,
        handler: Handler,
        settings: server.ListenerSettings | None = None,
    ) -> None:
        super().__init__(address, settings)
        self._handler = handler

    def _make_connection(self) -> _ServerConnection:
        return _ServerConnection(self, self._handler)


def _make_plain(status: int) -> messages.Answer:
    return messages.Answer(status, (), call_body.EMPTY)
