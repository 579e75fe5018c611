"""Errors of HTTP connections."""

from kumquatridge import errors


class TransportError(errors.KumquatridgeError):
    """A request for which no complete answer was received."""


class ConnectError(TransportError):
    """No connection could be opened; no byte was sent."""


class ConnectionBrokenError(TransportError):
    """The connection ended after bytes were sent, before a full answer."""


class AnswerTimeoutError(TransportError):
    """No answer within the time-out; the server may have received it."""


class MalformedAnswerError(TransportError):
    """The bytes received violate the protocol."""


class BrokenBodyError(TransportError):
    """The connection ended, or was aborted, in the middle of a body."""


class ListenError(errors.KumquatridgeError):
    """Listening on an address failed."""
