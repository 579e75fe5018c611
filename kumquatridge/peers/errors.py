"""Errors of the control messages between daemons."""

from kumquatridge import errors


class PeerError(errors.KumquatridgeError):
    """A control message that could not be exchanged."""


class ListenError(PeerError):
    """The address for control messages can't be bound."""


class MalformedMessageError(PeerError):
    """The bytes of a message can't be decoded."""


class CredentialError(PeerError):
    """A control message that could not be authenticated."""
