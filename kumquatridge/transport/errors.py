"""Errors of HTTP and framed connections."""

from kumquatridge import errors


class TransportError(errors.KumquatridgeError):
    """No complete answer to a request was received."""


class ConnectError(TransportError):
    """No connection was opened, or it had ended; no byte was sent."""


class ConnectionBrokenError(TransportError):
    """The connection ended after bytes were sent, before a full answer."""


class AnswerTimeoutError(TransportError):
    """No answer within the time-out; the server may have seen the request."""


class ProtocolError(TransportError):
    """The bytes received from a client or server violate the protocol."""


class BrokenBodyError(TransportError):
    """The connection ended, or was aborted, in the middle of a body."""


class ListenError(errors.KumquatridgeError):
    """Listening on an address failed."""
