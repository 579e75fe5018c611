"""What a request is for: a service and a path at its workers."""

import dataclasses

import yarl

from kumquatridge.http import errors

_ORIGIN = "http://daemon"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service, and the path and query that its worker is sent."""

    service: str
    path: str


def normalize(target: str) -> str:
    """Returns a request target in the one form of all that mean the same.

    Dot segments are resolved and needless percent-encoding is undone, so that
    the route found for a request is the one that the worker finds (RFC 3986,
    section 6.2.2).

    Raises:
      MalformedRequestError: the target has no path.
    """
    try:
        return yarl.URL(_ORIGIN + target).raw_path_qs
    except ValueError as error:
        raise errors.MalformedRequestError(
            f"target {target!r}: {error}"
        ) from error


def split(target: str) -> Target:
    """Splits "/SERVICE/PATH" into the service and "/PATH".

    Raises:
      MalformedRequestError: the target names no service.
    """
    service, slash, rest = target.lstrip("/").partition("/")
    if not service or not slash:
        raise errors.MalformedRequestError(
            f"path {target!r} is not of the form /SERVICE/PATH"
        )
    return Target(service, f"/{rest}")
