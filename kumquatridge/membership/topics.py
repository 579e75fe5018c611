"""Topics: tables of versioned entries that are disseminated by gossip.

Each topic is provided by an aggregate, such as the member table or the settings
store. Heartbeats carry one digest for each topic; a daemon whose digest differs
requests the versions and then the entries that are newer than its own. The
topics in `LAZY_TOPICS` wait for this daemon's next heartbeat to the peer. If
another topic differs, the daemon that receives a heartbeat sends one to the
sender at once and pulls the topic.
"""

from collections.abc import Iterable, Mapping
from typing import Protocol, TypeVar

EntryT = TypeVar("EntryT")

# Numbers of the topics on the wire; 3 is not in use. `MEMBERS` has the members
# of the data centre, `SETTINGS` the nodes of the settings tree, `REMOTE` the
# summaries of other data centres, `IN_FORCE` the settings versions that each
# instance has in force, `ROUTES` the route table and `CRASHES` the crashes of
# workers that `quarantine` counts.
MEMBERS = 1
SETTINGS = 2
REMOTE = 4
IN_FORCE = 5
ROUTES = 6
CRASHES = 7
LAZY_TOPICS = frozenset((MEMBERS, REMOTE, IN_FORCE))
# Topics with entries of up to a megabyte.
LARGE_TOPICS = frozenset((ROUTES,))


class GossipSource(Protocol[EntryT]):
    """An aggregate that disseminates small frozen entries.

    `revision` is used within this daemon only: it counts changes of the stored
    entries, whether made here or merged. Versions are sent to other daemons and
    compared there. The version of a key never decreases; a deletion is an
    entry with a version too. `merge` ignores entries that are not newer than
    the stored ones.
    """

    @property
    def revision(self) -> int:
        """Grows at every change of the content."""
        ...

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of each key."""
        ...

    def export(self, keys: Iterable[str]) -> tuple[EntryT, ...]:
        """Returns the entries of the keys that exist."""
        ...

    def merge(self, entries: Iterable[EntryT]) -> None:
        """Stores the entries that are newer than the stored ones."""
        ...


class GossipTopic(Protocol):
    """A gossip source whose entries are encoded as bytes."""

    @property
    def number(self) -> int:
        """The topic's number on the wire."""
        ...

    @property
    def revision(self) -> int:
        """Grows at every change of the content."""
        ...

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of each key."""
        ...

    def export(self, keys: Iterable[str]) -> tuple[bytes, ...]:
        """Returns the entries of the keys that exist."""
        ...

    def merge(self, entries: Iterable[bytes]) -> None:
        """Stores the entries that are newer than the stored ones."""
        ...
