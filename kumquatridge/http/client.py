"""The HTTP client for calls to other daemons and to the local worker."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import functools
import socket
from typing import cast

import aiohttp
from aiohttp import client_proto
import multidict
import yarl

from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.http import bodies
from kumquatridge.http import headers as header_names

# Idle connections are closed after this time.
KEEPALIVE_S = 30.0
TCP_USER_TIMEOUT_MS = 5000
# The final statuses that HTTP has (RFC 9110, section 15). A worker in trouble
# may send others.
STATUSES = range(200, 600)


class _Protocol(client_proto.ResponseHandler):
    """A connection that tells a reset in the middle of an answer.

    aiohttp takes a body without a length for complete however its connection
    ends.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Ends an incomplete body with an error if the connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(
                aiohttp.ClientPayloadError(f"connection lost: {exc}")
            )
        super().connection_lost(exc)


class _Upload:
    """The chunks of a request's body; `is_sent` after the last one."""

    def __init__(self, chunks: AsyncIterator[bytes]) -> None:
        self._chunks = chunks
        self.is_sent = False

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yields the chunks."""
        async for chunk in self._chunks:
            yield chunk
        self.is_sent = True


def make_session() -> aiohttp.ClientSession:
    """Returns a session that sends each request at most once.

    By default, aiohttp resends requests with idempotent methods when the
    server closed a reused connection. This is turned off: only the retry
    policy decides whether a call is sent again.
    """
    connector = aiohttp.TCPConnector(
        # No limit on the number of connections.
        limit=0,
        keepalive_timeout=KEEPALIVE_S,
        use_dns_cache=False,
        socket_factory=_make_socket,
    )
    connector._factory = cast(
        functools.partial[client_proto.ResponseHandler],
        functools.partial(_Protocol, loop=asyncio.get_running_loop()),
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=None),
    )
    session._retry_connection = False
    return session


def _make_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Returns a socket that doesn't deliver data long after it was sent.

    The kernel ends the connection when the peer has acknowledged nothing for
    `TCP_USER_TIMEOUT_MS`.
    """
    family, socket_type, protocol, _, _ = address
    created = socket.socket(family, socket_type, protocol)
    created.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
    )
    return created


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer; a streamed body may still be arriving."""

    response: aiohttp.ClientResponse
    body: call_body.Body


# `NotRun` if no connection could be opened, `Unknown` if it was but no answer
# was received.
SendResult = Answer | outcomes.NotRun | outcomes.Unknown


@contextlib.asynccontextmanager
async def send(
    session: aiohttp.ClientSession,
    call: calls.Call,
    url: str,
    headers: outcomes.Headers,
    receiver: str,
) -> AsyncIterator[SendResult]:
    """Sends a call once and waits for the answer until the deadline.

    If the context is left before the answer was read to its end, the
    connection is closed, which cancels the call at the receiver. `receiver` is
    the name that the refusal gives if no connection could be opened.
    """
    response: aiohttp.ClientResponse | None = None
    upload = _make_upload(call.body)
    try:
        async with asyncio.timeout(call.chain.get_remaining_ms() / 1000.0):
            response = await session.request(
                call.method,
                yarl.URL(url, encoded=True),
                headers=multidict.CIMultiDict(
                    (*headers, *_make_length_header(call.body))
                ),
                data=(
                    bodies.make_payload(call.body)
                    if upload is None
                    else upload.iterate()
                ),
                allow_redirects=False,
            )
            body = await _read_answer_body(response, upload)
    except aiohttp.ClientConnectorError:
        result: SendResult = outcomes.NotRun(refusals.Unreachable(receiver))
    except TimeoutError:
        result = outcomes.Unknown(
            "no answer before the deadline", timed_out=True
        )
    except (aiohttp.ClientError, OSError):
        result = outcomes.Unknown(
            "connection lost after the call was sent", worker_lost=True
        )
    else:
        result = _make_result(response, body)
    try:
        yield result
    finally:
        if response is not None:
            _release_response(response)


def _make_result(
    response: aiohttp.ClientResponse, body: call_body.Body
) -> SendResult:
    """Returns the answer, unless its status is none that HTTP has."""
    if response.status not in STATUSES:
        return outcomes.Unknown(f"the answer has status {response.status}")
    return Answer(response, body)


def _make_upload(body: call_body.Body) -> _Upload | None:
    """Returns the upload of a streamed body, None for a short one."""
    match body:
        case call_body.BufferedBody():
            return None
        case call_body.StreamedBody(_, chunks):
            return _Upload(chunks)


async def _read_answer_body(
    response: aiohttp.ClientResponse, upload: _Upload | None
) -> call_body.Body:
    length_bytes = response.content_length
    if (
        length_bytes is not None
        and length_bytes <= bodies.MAX_BUFFERED_BODY_BYTES
    ):
        return call_body.BufferedBody(await response.read())
    chunks = response.content.iter_any()
    is_chunked = header_names.TRANSFER_ENCODING in response.headers
    if upload is None or is_chunked or length_bytes is not None:
        return call_body.StreamedBody(length_bytes, chunks)
    return call_body.StreamedBody(None, _iterate_to_close(chunks, upload))


async def _iterate_to_close(
    chunks: AsyncIterator[bytes], upload: _Upload
) -> AsyncIterator[bytes]:
    """Yields a body that ends with its connection.

    A worker that ends the connection before it has the whole request may have
    been stopped in the middle of its answer.

    Raises:
      ClientPayloadError: the connection ended before the request was sent.
    """
    async for chunk in chunks:
        yield chunk
    if not upload.is_sent:
        raise aiohttp.ClientPayloadError("ended before the request was sent")


def _make_length_header(body: call_body.Body) -> outcomes.Headers:
    """Returns the Content-Length header of a stream of known length, if any.

    With it, the receiver can detect a truncated body.
    """
    match body:
        case call_body.StreamedBody(int(length_bytes), _):
            return ((header_names.CONTENT_LENGTH, str(length_bytes)),)
        case _:
            return ()


def _release_response(response: aiohttp.ClientResponse) -> None:
    if response.content.at_eof():
        response.release()
    else:
        response.close()
