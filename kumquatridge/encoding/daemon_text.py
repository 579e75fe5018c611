"""Reads a daemon's own settings from JSON with comments.

These are `daemon.settings.DaemonSettings`; the settings tree, which daemons
share, is read by `settings_text`.
"""

import dataclasses
import ipaddress
import pathlib

import msgspec

from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.encoding import settings_text
from kumquatridge.settings import errors

MAX_PORT = 65535
_NON_EMPTY_FIELDS = ("instance", "data_centre", "peer_key")


def read_daemon_settings(
    path: pathlib.Path,
) -> daemon_settings.DaemonSettings:
    """Reads a daemon's settings from a file of JSON with comments.

    Raises:
      SettingsError: the file can't be read or a value is invalid.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{path}: can't be read: {error}") from error
    return decode_daemon_settings(str(path), text)


def decode_daemon_settings(
    source: str, text: str
) -> daemon_settings.DaemonSettings:
    """Decodes a daemon's settings from JSON with comments.

    Raises:
      SettingsError: a key is unknown or a value is invalid; the message has
        the source, the key and what was expected.
    """
    value = settings_text.parse_text(source, text)
    if not isinstance(value, dict):
        raise errors.InvalidValueError(source, "/", value, "an object")
    known_keys = tuple(
        field.name
        for field in dataclasses.fields(daemon_settings.DaemonSettings)
    )
    settings_text.reject_unknown_keys(source, "/", value, known_keys)
    try:
        settings = msgspec.convert(value, daemon_settings.DaemonSettings)
    except msgspec.ValidationError as error:
        raise errors.SettingsError(
            f"{source}: invalid daemon settings: {error}"
        ) from error
    _check_addresses(source, settings)
    _check_non_empty(source, settings)
    _check_durations(source, settings)
    return settings


def _check_addresses(
    source: str, settings: daemon_settings.DaemonSettings
) -> None:
    addresses_by_field = {
        name: getattr(settings, name)
        for name in (
            "caller_address",
            "call_address",
            "control_address",
            "operator_address",
        )
    }
    for index, seed in enumerate(settings.seeds):
        addresses_by_field[f"seeds[{index}]"] = seed
    for index, seed in enumerate(settings.remote_seeds):
        addresses_by_field[f"remote_seeds[{index}]"] = seed
    if settings.platform_address is not None:
        addresses_by_field["platform_address"] = settings.platform_address
    for name, address in addresses_by_field.items():
        if not _is_address(address):
            raise errors.InvalidValueError(
                source,
                name,
                address,
                'an IP number (IPv4) and a port, as in "10.0.0.1:80"',
            )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    if not port.isascii() or not port.isdigit():
        return False
    return 0 < int(port) <= MAX_PORT


def _check_non_empty(
    source: str, settings: daemon_settings.DaemonSettings
) -> None:
    for name in _NON_EMPTY_FIELDS:
        if not getattr(settings, name).strip():
            raise errors.InvalidValueError(
                source, name, "", "a string that is not empty"
            )


def _check_durations(
    source: str, settings: daemon_settings.DaemonSettings
) -> None:
    for field in dataclasses.fields(settings):
        value = getattr(settings, field.name)
        if field.name.endswith("_ms") and value < 0:
            raise errors.InvalidValueError(
                source, field.name, value, "a number of milliseconds, 0 or more"
            )
