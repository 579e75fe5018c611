"""Errors of the settings aggregate."""

from kumquatridge import errors


class SettingsError(errors.KumquatridgeError):
    """Settings that can't be accepted; nothing was changed."""


class InvalidValueError(SettingsError):
    """A value in a settings text that is not what the key expects."""

    def __init__(
        self, source: str, path: str, value: object, expected: str
    ) -> None:
        super().__init__(
            f"{source}: at {path}: got {value!r}, expected {expected}"
        )
        self.source = source
        self.path = path
        self.value = value
        self.expected = expected
