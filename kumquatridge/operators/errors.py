"""Errors of the operators' API."""

from kumquatridge import errors


class ListenError(errors.KumquatridgeError):
    """The operators' API can't listen on its address."""
