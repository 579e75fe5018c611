"""Reads the requests of callers and of other daemons."""

from collections.abc import Mapping

from aiohttp import web

from kumquatridge.callpath import call_builder
from kumquatridge.http import bodies
from kumquatridge.http import errors
from kumquatridge.http import headers
from kumquatridge.http import targets


async def read_request(
    request: web.BaseRequest, target: targets.Target
) -> call_builder.Request:
    """Reads what a request asks for.

    Raises:
      MalformedRequestError: a timeout or the age of a key is no duration.
    """
    marks = request.headers
    return call_builder.Request(
        service=target.service,
        method=request.method,
        path=target.path,
        headers=headers.keep_end_to_end(marks.items()),
        body=await bodies.read_body(request),
        caller=marks.get(headers.CALLER, ""),
        idempotency_key=marks.get(headers.REQUEST_KEY),
        timeout_ms=_read_ms(marks, headers.TIMEOUT, least_ms=1),
        key_age_ms=_read_ms(marks, headers.KEY_AGE, least_ms=0),
        token=marks.get(headers.CONTEXT),
    )


def _read_ms(marks: Mapping[str, str], name: str, least_ms: int) -> int | None:
    """Reads a header with a duration, or returns None when it is absent.

    Raises:
      MalformedRequestError: not a whole number, or below `least_ms`.
    """
    text = marks.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or int(text) < least_ms:
        raise errors.MalformedRequestError(
            f"{name}: got {text!r}, expected a whole number of milliseconds "
            f"of at least {least_ms}"
        )
    return int(text)
