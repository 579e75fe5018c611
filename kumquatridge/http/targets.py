"""Request targets: a service and a path at its workers."""

import dataclasses

import yarl

from kumquatridge.http import errors

# Placeholder: only the path and query of the URL are used.
_PLACEHOLDER_ORIGIN = "http://daemon"


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A service, and the path and query that its worker receives."""

    service: str
    path: str


def normalize(target: str) -> str:
    """Returns the normal form of a request target (RFC 3986, section 6.2.2).

    Dot segments are resolved and unnecessary percent-encoding is removed, so
    that the route is chosen by the path that the worker interprets.

    Raises:
      MalformedRequestError: the target has no path.
    """
    try:
        return yarl.URL(_PLACEHOLDER_ORIGIN + target).raw_path_qs
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
