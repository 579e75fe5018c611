"""Errors of the settings aggregate."""

from kumquatridge import errors
from kumquatridge.settings import bounds


class SettingsError(errors.KumquatridgeError):
    """Invalid or forbidden settings; the operation changed nothing."""


class InvalidValueError(SettingsError):
    """A value in a settings text that does not match what its key expects."""

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
    """A value of a node that exceeds the bound set by its parent node."""

    def __init__(
        self, source: str, path: str, violation: bounds.BoundViolation
    ) -> None:
        super().__init__(
            source,
            path,
            violation.value,
            f"at most {violation.bound!r}, the bound set by the parent node",
        )


class RepositoryError(SettingsError):
    """The repository that stores the settings did not complete a call.

    Unlike with other settings errors, a write may have taken effect.
    """


class HistoryLostError(RepositoryError):
    """The repository no longer has the changes since a revision.

    The caller must read the full state again.
    """
