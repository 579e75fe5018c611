"""Errors of the control messages between daemons."""

from kumquatridge import errors


class PeerError(errors.KumquatridgeError):
    """A control message that could not be exchanged."""


class PeerSilentError(PeerError):
    """A peer did not answer in time."""


class MalformedMessageError(PeerError):
    """The bytes of a message can't be decoded."""
