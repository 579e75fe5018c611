"""Bodies as the HTTP library reads and writes them."""

from collections.abc import AsyncIterator

from aiohttp import web

from kumquatridge.calls import body as call_body

BUFFERED_BODY_BYTES = 64 * 1024

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def read_body(request: web.BaseRequest) -> call_body.Body:
    """Reads a short body whole; a longer one is read as it is sent on.

    A sender that waits for "100 Continue" gets it with the first read, so
    that a refused body is never sent.
    """
    length_bytes = request.content_length
    if not request.body_exists:
        return call_body.EMPTY
    waits = request.headers.get("expect", "").lower() == "100-continue"
    is_short = length_bytes is not None and length_bytes <= BUFFERED_BODY_BYTES
    if is_short and not waits:
        return call_body.BufferedBody(await request.read())
    return call_body.StreamedBody(
        length_bytes, call_body.SinglePassStream(_iter_body(request, waits))
    )


async def _iter_body(
    request: web.BaseRequest, waits: bool
) -> AsyncIterator[bytes]:
    if waits:
        await request.writer.write(_CONTINUE)
        request.writer.output_size = 0
    async for chunk in request.content.iter_any():
        yield chunk


def make_payload(
    body: call_body.Body,
) -> bytes | AsyncIterator[bytes] | None:
    """Returns what the HTTP client sends for a body."""
    match body:
        case call_body.BufferedBody(data):
            return data or None
        case call_body.StreamedBody(_, chunks):
            return chunks
