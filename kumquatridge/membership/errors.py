"""Errors of the membership aggregate."""

from kumquatridge import errors


class MembershipError(errors.KumquatridgeError):
    """A control message failed."""


class PeerSilentError(MembershipError):
    """A peer did not answer within the time-out or is unreachable."""


class PeerRefusedError(MembershipError):
    """A peer refused a message; the text gives the reason."""
