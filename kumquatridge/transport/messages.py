"""HTTP requests and answers, and the encoding of their heads."""

import dataclasses

from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.transport import errors

_REASONS = {
    200: "OK",
    201: "Created",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    421: "Misdirected Request",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


FRAMING_HEADERS = frozenset(("content-length", "transfer-encoding"))


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request; `target` is the path and query, exactly as sent.

    The header names of a received message are in lower case.
    """

    method: str
    target: str
    headers: outcomes.Headers
    body: call_body.Body


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer; the body may still be arriving.

    The header names of a received message are in lower case.
    """

    status: int
    headers: outcomes.Headers
    body: call_body.Body


def decode_headers(raw: list[tuple[bytes, bytes]]) -> outcomes.Headers:
    """Returns headers as text, with their names in lower case."""
    return tuple(
        [
            (name.lower().decode("latin-1"), value.decode("latin-1"))
            for name, value in raw
        ]
    )


def find_header(headers: outcomes.Headers, name: str) -> str | None:
    """Returns the first value of a received header, by lower-case name."""
    for header_name, value in headers:
        if header_name == name:
            return value
    return None


async def read_body(body: call_body.Body, max_bytes: int) -> bytes:
    """Reads a body to its end.

    Raises:
      ProtocolError: it is longer than `max_bytes`; the rest was not read.
      BrokenBodyError: the connection ended before the body.
    """
    match body:
        case call_body.BufferedBody(data):
            _check_length(len(data), max_bytes)
            return data
        case call_body.StreamedBody(length_bytes, chunks):
            _check_length(length_bytes or 0, max_bytes)
            read = bytearray()
            async for chunk in chunks:
                read += chunk
                _check_length(len(read), max_bytes)
            return bytes(read)


def _check_length(length_bytes: int, max_bytes: int) -> None:
    if length_bytes > max_bytes:
        raise errors.ProtocolError(f"a body longer than {max_bytes} bytes")


def encode_request_head(request: Request) -> bytes:
    """Returns the request line and headers.

    Content-Length or Transfer-Encoding is added, except to a GET or HEAD
    request with an empty body.
    """
    lines = [f"{request.method} {request.target} HTTP/1.1"]
    lines.extend(f"{name}: {value}" for name, value in request.headers)
    match request.body:
        case call_body.BufferedBody(b"") if request.method in ("GET", "HEAD"):
            pass
        case _:
            lines.append(_make_framing_header(request.body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_framing(method: str, headers: outcomes.Headers) -> bytes:
    """Returns a request head that only says how the body is delimited.

    It has the framing headers of a received head.
    """
    lines = [f"{method} / HTTP/1.1"]
    lines.extend(
        f"{name}: {value}" for name, value in headers if name in FRAMING_HEADERS
    )
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_answer_head(answer: Answer, *, closes: bool) -> bytes:
    """Returns the status line and headers.

    Content-Length or Transfer-Encoding is added. With `closes`, the head
    announces that the connection is closed after this answer.
    """
    reason = _REASONS.get(answer.status, "Unknown")
    lines = [f"HTTP/1.1 {answer.status} {reason}"]
    lines.extend(f"{name}: {value}" for name, value in answer.headers)
    if closes:
        lines.append("Connection: close")
    lines.append(_make_framing_header(answer.body))
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def is_chunked(body: call_body.Body) -> bool:
    """Returns whether a body is sent in chunks, as its length is unknown."""
    return call_body.get_length_bytes(body) is None


def encode_chunk(data: bytes) -> bytes:
    """Returns one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


def _make_framing_header(body: call_body.Body) -> str:
    length_bytes = call_body.get_length_bytes(body)
    if length_bytes is None:
        return "Transfer-Encoding: chunked"
    return f"Content-Length: {length_bytes}"
