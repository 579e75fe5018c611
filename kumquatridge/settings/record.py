"""The stored form of a node: its versions and who wrote them."""

import dataclasses

from kumquatridge.settings import node as settings_node

HISTORY_LENGTH = 10


@dataclasses.dataclass(frozen=True, slots=True)
class NodeRecord:
    """One version of a node.

    `settings` is None when the node was deleted: a deletion is a version too,
    and the versions of a node created again continue from it. `owner` is the
    owner of the credential that signed the record. `nonce` is unique to the
    write: a writer that received no answer looks for it in the stored node to
    find out whether its record was stored. `written_at_ms` is wall-clock time
    for display; no decision depends on it.
    """

    path: str
    version: int
    settings: settings_node.NodeSettings | None
    owner: str
    writer: str
    nonce: str
    written_at_ms: int
    signature: str = ""

    def make_node(self) -> settings_node.Node | None:
        """Returns the node, or None when it was deleted."""
        if self.settings is None:
            return None
        return settings_node.Node(self.path, self.settings, self.version)


@dataclasses.dataclass(frozen=True, slots=True)
class StoredNode:
    """A node as stored: its newest record and a bounded history.

    `history` holds up to `HISTORY_LENGTH` earlier records, newest first.
    `revision` is the number that the platform assigned to the object at its
    last write, 0 for an object that is not stored yet. Revisions increase with
    every write of any object; the versions in the records count the changes of
    this node only.
    """

    record: NodeRecord
    history: tuple[NodeRecord, ...] = ()
    revision: int = 0

    def make_successor(self, record: NodeRecord) -> "StoredNode":
        """Returns the node to store with `record` as its newest version.

        The result has the revision of this one, because the write is
        conditional on that revision.
        """
        history = (self.record, *self.history)[:HISTORY_LENGTH]
        return StoredNode(record, history, self.revision)

    def find_write(self, nonce: str) -> NodeRecord | None:
        """Returns the record with a nonce, if it is still stored."""
        for record in (self.record, *self.history):
            if record.nonce == nonce:
                return record
        return None

    def history_reaches(self, version: int) -> bool:
        """Returns whether every version from `version` on is still stored.

        Only then does a missing nonce prove that a write was not stored.
        """
        return self.record.version - len(self.history) <= version
