"""Errors of the platform client."""

from kumquatridge import errors


class PlatformError(errors.KumquatridgeError):
    """A call to the platform that could not be made use of."""


class PlatformUnreachableError(PlatformError):
    """The platform did not answer before the deadline."""


class PlatformAnswerError(PlatformError):
    """The platform answered something that is not its protocol."""


class PlatformDeniedError(PlatformError):
    """The platform refused the caller's credential."""


class PlatformHistoryLostError(PlatformError):
    """The platform no longer knows the changes since a version."""


class SettingsFileError(errors.KumquatridgeError):
    """The settings file that the platform wrote can't be used."""


class MalformedReportError(errors.KumquatridgeError):
    """A worker's report on itself can't be read."""
