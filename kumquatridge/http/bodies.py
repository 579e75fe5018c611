"""Conversion of bodies from and to those of aiohttp."""

from collections.abc import AsyncIterator

from aiohttp import web

from kumquatridge.calls import body as call_body

# A body of known length up to this size is read completely before it is passed
# on; any other is streamed.
MAX_BUFFERED_BODY_BYTES = 64 * 1024

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


async def read_body(request: web.BaseRequest) -> call_body.Body:
    """Reads a short body completely; a longer one is streamed.

    A sender that expects "100 Continue" gets it when the body is first read,
    so that the body of a refused call is never sent.
    """
    length_bytes = request.content_length
    if not request.body_exists:
        return call_body.EMPTY
    expects_continue = (
        request.headers.get("expect", "").lower() == "100-continue"
    )
    is_short = (
        length_bytes is not None and length_bytes <= MAX_BUFFERED_BODY_BYTES
    )
    if is_short and not expects_continue:
        return call_body.BufferedBody(await request.read())
    return call_body.StreamedBody(
        length_bytes,
        call_body.SinglePassStream(_iter_body(request, expects_continue)),
    )


async def _iter_body(
    request: web.BaseRequest, expects_continue: bool
) -> AsyncIterator[bytes]:
    if expects_continue:
        await request.writer.write(_CONTINUE)
        # The interim answer must not count as output: aiohttp sends no error
        # answer once a part of the answer was written.
        request.writer.output_size = 0
    async for chunk in request.content.iter_any():
        yield chunk


def make_payload(
    body: call_body.Body,
) -> bytes | AsyncIterator[bytes] | None:
    """Returns a body as the `data` of an aiohttp request."""
    match body:
        case call_body.BufferedBody(data):
            return data or None
        case call_body.StreamedBody(_, chunks):
            return chunks
