"""Base class of the errors that the package raises."""


class KumquatridgeError(Exception):
    """Base of the errors of each package; operators are shown the message."""
