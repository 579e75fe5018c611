"""A listening server with one task for each connection."""

import asyncio
import collections
from collections.abc import Awaitable, Callable
import dataclasses
import socket
import types
from typing import cast, Self

import httptools

from kumquatridge import background
from kumquatridge import clock
from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.telemetry import events
from kumquatridge.transport import errors
from kumquatridge.transport import inbox
from kumquatridge.transport import messages

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHECK_INTERVAL_S = 1.0
# Requests that a client may send ahead of their answers.
MAX_PIPELINED = 16
BACKLOG = 1024
# A colon, a space and the end of the line.
SEPARATOR_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class ListenerSettings:
    """What clients may send, and how long connections may stay idle.

    The defaults are those that operators commonly use. A connection idle for
    `idle_ms` plus a second is closed.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_ms: float = 15_000.0
    unacknowledged_ms: int = 5000


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


class _ServerConnection(asyncio.Protocol):
    """One client's connection, answered in order by one task."""

    def __init__(self, listener: "HttpListener") -> None:
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._arriving: _Arriving | None = None
        self._raw_headers: list[tuple[bytes, bytes]] = []
        self._waiting: collections.deque[_Arriving] = collections.deque()
        self._arrived = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._fault_status: int | None = None
        self._is_finished = False
        self._since_ms = clock.get_now_ms()
        self.transport: asyncio.Transport = cast(asyncio.Transport, None)
        self.writable = asyncio.Event()
        self.writable.set()
        self.is_busy = False

    @property
    def closes_next(self) -> bool:
        """Tells whether the connection ends after the next answer."""
        return self._listener.is_draining

    @property
    def is_idle(self) -> bool:
        """Tells whether no byte of a request is here."""
        return not (self.is_busy or self._waiting or self._arriving)

    def check_timeouts(self, now_ms: float) -> None:
        """Closes a connection that is idle, or slow to send a head."""
        if self.is_busy or (
            self._arriving is not None and self._arriving.method
        ):
            return
        settings = self._listener.settings
        elapsed_ms = now_ms - self._since_ms
        if self._arriving is not None:
            if elapsed_ms > settings.header_timeout_ms + 1000.0:
                self._reject(408)
        elif elapsed_ms > settings.idle_ms + 1000.0:
            self.finish()

    def finish(self) -> None:
        """Closes the connection once what was written is sent."""
        self._is_finished = True
        self.transport.close()

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
            await self._listener.handler(request, responder)
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

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the connection's task."""
        self.transport = cast(asyncio.Transport, transport)
        raw = transport.get_extra_info("socket")
        raw.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            self._listener.settings.unacknowledged_ms,
        )
        self._listener.connections.add(self)
        self._task = asyncio.create_task(self._serve())

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

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels what the client no longer waits for."""
        self._listener.connections.discard(self)
        self.writable.set()
        if self._arriving is not None:
            self._arriving.body.fail(errors.BrokenBodyError("client left"))
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Holds up a streamed body."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Lets a streamed body go on."""
        self.writable.set()

    def _fail(self, status: int) -> None:
        if self._fault_status is not None:
            return
        self._fault_status = status
        if self._arriving is not None:
            self._arriving.body.fail(errors.BrokenBodyError("malformed body"))
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


class HttpListener(background.BackgroundOwner):
    """Listens on an address while its context is open.

    A handler is cancelled when its connection is lost.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        settings: ListenerSettings | None = None,
    ) -> None:
        self._address = address
        self.handler = handler
        self.settings = settings or ListenerSettings()
        self.connections: set[_ServerConnection] = set()
        self.is_draining = False
        self._server: asyncio.Server | None = None

    @property
    def is_idle(self) -> bool:
        """Tells whether no request is in progress."""
        return all(one.is_idle for one in self.connections)

    async def __aenter__(self) -> Self:
        """Starts to listen.

        Raises:
          ListenError: the address is taken, or not this instance's.
        """
        self._server = await open_server(
            self._address, lambda: _ServerConnection(self)
        )
        return await super().__aenter__()

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops listening and closes what connections are left."""
        await super().__aexit__(error_type, error, traceback)
        if self._server is not None:
            self._server.close()
        for one in tuple(self.connections):
            one.finish()

    def set_limits(self, settings: ListenerSettings) -> None:
        """Takes other bounds, for what arrives from now on."""
        self.settings = settings

    def close_idle(self) -> None:
        """Closes the connections on which nothing is in progress."""
        for one in tuple(self.connections):
            if one.is_idle:
                one.finish()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now_ms = clock.get_now_ms()
            for one in tuple(self.connections):
                one.check_timeouts(now_ms)


async def open_server(
    address: str, make_protocol: Callable[[], asyncio.Protocol]
) -> asyncio.Server:
    """Listens at an address; see `HttpListener.__aenter__`."""
    host, port = address.rsplit(":", 1)
    loop = asyncio.get_running_loop()
    try:
        return await loop.create_server(
            make_protocol, host, int(port), backlog=BACKLOG, reuse_address=True
        )
    except OSError as error:
        raise errors.ListenError(
            f"can't listen at {address}: {error.strerror}"
        ) from error


def _make_plain(status: int) -> messages.Answer:
    return messages.Answer(status, (), call_body.EMPTY)
