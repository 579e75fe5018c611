"""One connection to a server, which answers one request at a time."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import cast

import httptools

from kumquatridge import clock
from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.transport import errors
from kumquatridge.transport import inbox
from kumquatridge.transport import kept
from kumquatridge.transport import messages

FIRST_FINAL_STATUS = 200
BODILESS_STATUSES = frozenset((204, 304))
# Answers to earlier requests that may precede the awaited one; a server that
# sends more is not trusted with the connection.
MAX_STRAY_ANSWERS = 4

Accepts = Callable[[outcomes.Headers], bool]


def accept_any(headers: outcomes.Headers) -> bool:
    """Takes every answer as the one to the request in progress."""
    del headers
    return True


class _Arriving:
    """The answer that is being read."""

    def __init__(self, flow: inbox.Flow) -> None:
        self.status = 0
        self.raw_headers: list[tuple[bytes, bytes]] = []
        self.headers: outcomes.Headers = ()
        self.body = inbox.BodyInbox(flow)
        self.is_head_complete = False
        self.is_stray = False
        self.ends_with_connection = False


class Connection(kept.KeptConnection[_Arriving]):
    """Sends requests one after the other and reads their answers.

    An answer that arrives when none is awaited, or that belongs to another
    request, makes the connection unfit for further use.
    """

    def __init__(self) -> None:
        super().__init__()
        self._parser = httptools.HttpResponseParser(self)
        self._answer: _Arriving | None = None
        self._accepts: Accepts = accept_any
        self._strays = 0
        self._keeps_alive = True
        self.exchanges = 0

    @property
    def _is_settled(self) -> bool:
        return self._keeps_alive and self._has_ended

    @property
    def _has_ended(self) -> bool:
        """Tells whether no answer is outstanding, given up ones included."""
        if self._answer is None:
            return self.exchanges == 0
        return not self._answer.is_stray and self._answer.body.is_complete

    async def send(
        self, request: messages.Request, accepts: Accepts, timeout_s: float
    ) -> messages.Answer:
        """Sends a request and waits for its answer.

        Raises:
          TransportError: no answer came.
        """
        transport = self._get_transport()
        self.exchanges += 1
        self._answer = None
        self._accepts = accepts
        self._strays = 0
        self._expect()
        self._write(transport, request)
        arrived = await self._wait(timeout_s)
        headers = arrived.headers
        length = messages.find_header(headers, "content-length")
        body = arrived.body.hand_over(int(length) if length else None)
        return messages.Answer(arrived.status, headers, body)

    def _write(
        self, transport: asyncio.Transport, request: messages.Request
    ) -> None:
        head = messages.encode_request_head(request)
        match request.body:
            case call_body.BufferedBody(data):
                transport.write(head + data)
            case call_body.StreamedBody():
                transport.write(head)
                self._sending = asyncio.create_task(
                    self._write_stream(transport, request.body)
                )

    async def _write_stream(
        self, transport: asyncio.Transport, body: call_body.StreamedBody
    ) -> None:
        chunked = messages.is_chunked(body)
        try:
            async for chunk in body.chunks:
                await self._writable.wait()
                transport.write(
                    messages.encode_chunk(chunk) if chunked else chunk
                )
        except errors.TransportError as error:
            self.fail(errors.ConnectionBrokenError(f"body: {error}"))
            return
        if chunked:
            transport.write(messages.LAST_CHUNK)

    def _break_body(self, fault: errors.BrokenBodyError) -> None:
        if self._answer is not None:
            self._answer.body.fail(fault)

    # What asyncio calls.

    def data_received(self, data: bytes) -> None:
        """Parses bytes; those that nobody waits for spoil the connection."""
        if self._awaited is None and self._has_ended:
            self.fail(errors.MalformedAnswerError("bytes after the answer"))
            return
        try:
            self._parser.feed_data(data)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            UnicodeDecodeError,
        ) as error:
            self._take_parse_error(error)

    def _take_parse_error(self, error: Exception) -> None:
        answer = self._answer
        if answer is not None and answer.body.is_complete:
            self._keeps_alive = False
            return
        self.fail(errors.MalformedAnswerError(str(error)))

    def eof_received(self) -> bool:
        """Ends an answer that has no other end."""
        answer = self._answer
        if (
            answer is not None
            and answer.is_head_complete
            and answer.ends_with_connection
            and not answer.body.is_complete
        ):
            self._keeps_alive = False
            self._finish(answer)
        return False

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Starts an answer; one after the awaited one spoils the connection."""
        if self._answer is not None and not self._answer.is_stray:
            self._keeps_alive = False
            raise errors.MalformedAnswerError("a second answer")
        transport = cast(asyncio.Transport, self._transport)
        self._answer = _Arriving(transport)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        answer = self._answer
        assert answer is not None
        answer.raw_headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Judges whether this is the awaited answer."""
        answer = self._answer
        assert answer is not None
        answer.status = self._parser.get_status_code()
        headers = messages.decode_headers(answer.raw_headers)
        answer.headers = headers
        answer.is_head_complete = True
        if answer.status < FIRST_FINAL_STATUS:
            answer.is_stray = True
            return
        if not self._accepts(headers):
            answer.is_stray = True
            self._strays += 1
            self._keeps_alive = False
            if self._strays > MAX_STRAY_ANSWERS:
                raise errors.MalformedAnswerError("answers to other requests")
            return
        fields = dict(headers)
        answer.ends_with_connection = (
            "content-length" not in fields
            and "transfer-encoding" not in fields
            and answer.status not in BODILESS_STATUSES
        )

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        answer = self._answer
        assert answer is not None
        if answer.is_stray:
            return
        answer.body.add(data)
        if answer.body.is_ready:
            self._deliver(answer)

    def on_message_complete(self) -> None:
        """Takes the end of an answer."""
        answer = self._answer
        assert answer is not None
        if answer.is_stray:
            return
        self._keeps_alive = self._keeps_alive and (
            self._parser.should_keep_alive()
        )
        self._finish(answer)

    def _finish(self, answer: _Arriving) -> None:
        answer.body.complete()
        self.idle_since_ms = clock.get_now_ms()
        self._deliver(answer)


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """Where to connect to."""

    host: str
    port: int

    @classmethod
    def parse(cls, address: str) -> "Endpoint":
        """Returns the endpoint of "host:port"."""
        host, port = address.rsplit(":", 1)
        return cls(host, int(port))
