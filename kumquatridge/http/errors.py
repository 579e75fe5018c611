"""Errors of the HTTP front end."""

from kumquatridge import errors


class HttpError(errors.KumquatridgeError):
    """An error of the HTTP front end."""


class ListenError(HttpError):
    """Listening on an address for calls failed."""


class MalformedRequestError(HttpError):
    """The request can't be parsed; the message says why."""
