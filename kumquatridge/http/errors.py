"""Errors of the HTTP front end."""

from kumquatridge import errors


class HttpError(errors.KumquatridgeError):
    """Base class of the errors of the HTTP front end."""


class ListenError(HttpError):
    """Listening on an address for calls failed."""


class MalformedRequestError(HttpError):
    """A request, or an update of a daemon, can't be parsed.

    A daemon sends its update as a request and gets another as the answer.
    """
