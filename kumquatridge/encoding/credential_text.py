"""Reads and encodes the credential with which settings are written."""

import dataclasses
import pathlib

import msgspec

from kumquatridge.encoding import settings_text
from kumquatridge.settings import credentials
from kumquatridge.settings import errors
from kumquatridge.settings import node as settings_node


def read_credential(path: pathlib.Path) -> credentials.Credential:
    """Reads a credential from a file of JSON with comments.

    Raises:
      SettingsError: the file can't be read or holds no valid credential;
        the message contains no secret.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{path}: can't be read: {error}") from error
    value = settings_text.parse_text(str(path), text)
    try:
        credential = msgspec.convert(value, credentials.Credential)
    except msgspec.ValidationError as error:
        raise errors.SettingsError(
            f"{path}: no valid credential: {error}"
        ) from error
    _check_owner(str(path), credential.owner)
    return credential


def encode_credential(credential: credentials.Credential) -> str:
    """Encodes a credential as indented JSON."""
    return msgspec.json.format(
        msgspec.json.encode(dataclasses.asdict(credential))
    ).decode()


def _check_owner(source: str, owner: str) -> None:
    """Checks that the owner is the root (depth 0) or a team (depth 1)."""
    if settings_node.is_path(owner) and settings_node.get_depth(owner) <= 1:
        return
    raise errors.InvalidValueError(
        source, "owner", owner, '"/" or the path of a team'
    )
