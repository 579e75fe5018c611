"""Base class of the errors that the package raises."""


class KumquatridgeError(Exception):
    """Base of the errors of each layer; its message is shown to operators."""
