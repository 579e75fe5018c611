"""Write permissions on nodes, and how a daemon verifies them.

The platform operators hold one root key. A team's key is derived from it and
signs only records below the team's node, so a daemon that has the root key
can verify every record without a list of teams.
"""

import dataclasses
import hashlib
import hmac

from kumquatridge.settings import errors
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import record as settings_record

_KEY_DERIVATION_PREFIX = "kumquatridge settings key of "


@dataclasses.dataclass(frozen=True, slots=True)
class Credential:
    """The signing key of a writer; `owner` is "/" or the path of a team.

    `platform_token` authenticates the writer at the platform, which applies
    its own access rules.
    """

    owner: str
    key: str = dataclasses.field(repr=False)
    platform_token: str | None = dataclasses.field(default=None, repr=False)

    def covers(self, path: str) -> bool:
        """Returns whether the owner of this credential may write a node."""
        return owns(self.owner, path)

    def sign(
        self, record: settings_record.NodeRecord
    ) -> settings_record.NodeRecord:
        """Returns the record with its signature set by the key."""
        return dataclasses.replace(record, signature=_sign(self.key, record))


def owns(owner: str, path: str) -> bool:
    """Returns whether an owner may write a node.

    The platform operators may write every node, a team only those below its
    own: the team's own node holds the bounds that the operators set for it.
    """
    if owner == settings_node.ROOT_PATH:
        return True
    return settings_node.get_depth(owner) == 1 and path.startswith(f"{owner}/")


def derive_key(root_key: str, owner: str) -> str:
    """Returns the signing key of an owner; the operators use the root key."""
    if owner == settings_node.ROOT_PATH:
        return root_key
    return hmac.new(
        root_key.encode(),
        (_KEY_DERIVATION_PREFIX + owner).encode(),
        hashlib.sha256,
    ).hexdigest()


def delegate(operators: Credential, owner: str) -> Credential:
    """Derives the credential of a team from that of the operators.

    Raises:
      SettingsError: `operators` is the credential of a team, or `owner` is not
        the path of a team.
    """
    if operators.owner != settings_node.ROOT_PATH:
        raise errors.SettingsError(
            f"the credential of {operators.owner} can't make others"
        )
    if settings_node.get_depth(owner) != 1:
        raise errors.SettingsError(
            f"can't derive a credential for {owner}: "
            "expected the path of a team"
        )
    return Credential(owner, derive_key(operators.key, owner))


def _sign(key: str, record: settings_record.NodeRecord) -> str:
    return hmac.new(
        key.encode(), _encode_canonical(record), hashlib.sha256
    ).hexdigest()


def _encode_canonical(record: settings_record.NodeRecord) -> bytes:
    """Returns the bytes to be signed: all of a record but its signature.

    Settings that the node does not set are left out.
    """
    settings = record.settings
    values = (
        repr(None)
        if settings is None
        else {
            field.name: _to_plain_value(getattr(settings, field.name))
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


def _to_plain_value(value: object) -> object:
    """Returns a value that prints the same everywhere.

    The importance is an enumeration, whose members print with their names.
    """
    return int(value) if isinstance(value, int) else value


@dataclasses.dataclass(frozen=True, slots=True)
class RecordVerifier:
    """Decides which records a daemon accepts.

    Without `root_key` signatures are not verified, and only the platform's
    own access rules restrict the writers.
    """

    root_key: str | None = dataclasses.field(default=None, repr=False)

    def find_rejection_reason(
        self, record: settings_record.NodeRecord
    ) -> str | None:
        """Returns why a record is rejected, or None if it is accepted."""
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
