"""Errors of the API client, the settings file and worker reports."""

from kumquatridge import errors


class PlatformError(errors.KumquatridgeError):
    """A call to the platform's object API failed."""


class PlatformUnreachableError(PlatformError):
    """No complete answer arrived from the platform within the time-out."""


class PlatformAnswerError(PlatformError):
    """The platform's answer has an unexpected status or body."""


class PlatformMalformedError(PlatformAnswerError):
    """The answer of the platform can't be decoded."""


class PlatformDeniedError(PlatformError):
    """The platform rejected the client's credential."""


class PlatformHistoryLostError(PlatformError):
    """The platform no longer has the changes since the requested version."""


class SettingsFileError(errors.KumquatridgeError):
    """The settings file can't be read, or a value in it is invalid."""


class MalformedReportError(errors.KumquatridgeError):
    """A worker's heartbeat can't be decoded, or a value in it is invalid."""
