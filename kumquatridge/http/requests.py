"""Parses requests of callers and of other daemons."""

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
    """Parses the headers of a request and reads its body.

    Raises:
      MalformedRequestError: the time-out or the age of the key is not a whole
        number of milliseconds.
    """
    header_fields = request.headers
    return call_builder.Request(
        service=target.service,
        method=request.method,
        path=target.path,
        headers=headers.keep_end_to_end(header_fields.items()),
        body=await bodies.read_body(request),
        caller=header_fields.get(headers.CALLER, ""),
        idempotency_key=header_fields.get(headers.IDEMPOTENCY_KEY),
        timeout_ms=_read_ms(header_fields, headers.TIMEOUT, min_ms=1),
        key_age_ms=_read_ms(header_fields, headers.KEY_AGE, min_ms=0),
        token=header_fields.get(headers.CONTEXT),
    )


def _read_ms(
    header_fields: Mapping[str, str], name: str, min_ms: int
) -> int | None:
    """Parses a header with a duration; returns None if it is absent.

    Raises:
      MalformedRequestError: not a whole number, or below `min_ms`.
    """
    text = header_fields.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit() or int(text) < min_ms:
        raise errors.MalformedRequestError(
            f"{name}: got {text!r}, expected a whole number of milliseconds "
            f"of at least {min_ms}"
        )
    return int(text)
