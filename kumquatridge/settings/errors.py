"""Errors of the settings aggregate."""

from kumquatridge import errors
from kumquatridge.settings import bounds


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


class LooserThanParentError(InvalidValueError):
    """A node would loosen what the node above it bounds."""

    def __init__(self, source: str, path: str, excess: bounds.Excess) -> None:
        super().__init__(
            source,
            path,
            excess.value,
            f"at most {excess.bound!r}, the bound of the node above",
        )


class RepositoryError(SettingsError):
    """The place where settings are kept did not answer."""


class HistoryLostError(RepositoryError):
    """Changes since a revision are no longer known; read everything anew."""
