"""Errors of the membership aggregate."""

from kumquatridge import errors


class MembershipError(errors.KumquatridgeError):
    """A control message came to nothing."""


class PeerSilentError(MembershipError):
    """A peer did not answer in time, or can't be reached."""


class PeerRefusedError(MembershipError):
    """A peer refused a message; the text says why."""
