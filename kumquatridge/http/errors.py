"""Errors of the HTTP front end."""

from kumquatridge import errors


class HttpError(errors.KumquatridgeError):
    """A request or an answer that the front end can't use."""


class ListenError(HttpError):
    """An address for calls can't be listened at."""


class MalformedRequestError(HttpError):
    """The request can't be turned into a call; the text says why."""
