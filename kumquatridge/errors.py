"""The root of every error that the package raises on purpose."""


class KumquatridgeError(Exception):
    """Base of each layer's own errors; its text is fit for an operator."""
