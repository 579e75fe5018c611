"""Errors of HTTP connections."""

from kumquatridge import errors


class TransportError(errors.KumquatridgeError):
    """A request that got no whole answer."""


class ConnectError(TransportError):
    """No connection could be opened; no byte was sent."""


class ConnectionBrokenError(TransportError):
    """The connection ended after bytes were sent, before a whole answer."""


class AnswerTimeoutError(TransportError):
    """No answer came in the time allowed; the request may have arrived."""


class MalformedAnswerError(TransportError):
    """What came back is no answer in the protocol."""


class BrokenBodyError(TransportError):
    """A body that was being read ended before its end."""


class ListenError(errors.KumquatridgeError):
    """An address can't be listened at."""
