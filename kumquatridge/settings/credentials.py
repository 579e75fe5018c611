"""Who may write which nodes, and how a daemon checks it.

The platform operators hold one key. A team's key is derived from it and
signs only records below the team's node, so a daemon that knows the
operators' key can check every record without a list of teams.
"""

import dataclasses
import hashlib
import hmac

from kumquatridge.settings import errors
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import record as settings_record

_KEY_LABEL = "kumquatridge settings key of "


@dataclasses.dataclass(frozen=True, slots=True)
class Credential:
    """What a writer signs with; `owner` is "/" or the path of a team.

    `platform_token` is shown to the platform, which has rules of its own.
    """

    owner: str
    key: str = dataclasses.field(repr=False)
    platform_token: str | None = dataclasses.field(default=None, repr=False)

    def covers(self, path: str) -> bool:
        """Tells whether the owner may write a node."""
        return owns(self.owner, path)

    def sign(
        self, record: settings_record.NodeRecord
    ) -> settings_record.NodeRecord:
        """Returns the record with its signature."""
        return dataclasses.replace(record, signature=_sign(self.key, record))


def owns(owner: str, path: str) -> bool:
    """Tells whether an owner may write a node.

    The platform operators write every node, a team those below its own; the
    team's own node holds the bounds that the operators set for the team.
    """
    if owner == settings_node.ROOT_PATH:
        return True
    return settings_node.get_depth(owner) == 1 and path.startswith(f"{owner}/")


def derive_key(root_key: str, owner: str) -> str:
    """Returns the key of an owner; the operators sign with their own."""
    if owner == settings_node.ROOT_PATH:
        return root_key
    return hmac.new(
        root_key.encode(), (_KEY_LABEL + owner).encode(), hashlib.sha256
    ).hexdigest()


def delegate(own: Credential, owner: str) -> Credential:
    """Returns the credential that the operators hand to a team.

    Raises:
      SettingsError: only the operators' credential makes others, and only
        for teams.
    """
    if own.owner != settings_node.ROOT_PATH:
        raise errors.SettingsError(
            f"the credential of {own.owner} can't make others"
        )
    if settings_node.get_depth(owner) != 1:
        raise errors.SettingsError(f"{owner} is not the path of a team")
    return Credential(owner, derive_key(own.key, owner))


def _sign(key: str, record: settings_record.NodeRecord) -> str:
    return hmac.new(
        key.encode(), _make_canonical(record), hashlib.sha256
    ).hexdigest()


def _make_canonical(record: settings_record.NodeRecord) -> bytes:
    settings = record.settings
    values = (
        repr(None)
        if settings is None
        else {
            field.name: _make_plain(getattr(settings, field.name))
            for field in dataclasses.fields(settings)
            if getattr(settings, field.name) is not None
        }
    )
    return repr(
        (
            record.path,
            record.version,
            record.owner,
            record.writer,
            record.nonce,
            record.written_at_ms,
            values,
        )
    ).encode()


def _make_plain(value: object) -> object:
    return int(value) if isinstance(value, int) else value


@dataclasses.dataclass(frozen=True, slots=True)
class RecordRule:
    """Which records a daemon takes.

    Without a key the platform's own rules on writers are relied on.
    """

    root_key: str | None = dataclasses.field(default=None, repr=False)

    def find_fault(self, record: settings_record.NodeRecord) -> str | None:
        """Returns why a record is not taken, or None for a good one."""
        if not settings_node.is_path(record.path) or record.version < 1:
            return "malformed"
        if not owns(record.owner, record.path):
            return "not_owner"
        if self.root_key is None:
            return None
        expected = _sign(derive_key(self.root_key, record.owner), record)
        if not hmac.compare_digest(expected, record.signature):
            return "bad_signature"
        return None
