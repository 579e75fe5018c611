"""Errors of the operators' API."""

from kumquatridge import errors


class ListenError(errors.KumquatridgeError):
    """The operators' address can't be listened at."""
