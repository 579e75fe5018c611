"""State of other aggregates that spreads along with the heartbeats.

An aggregate hands over versioned entries. Heartbeats carry one digest for
each topic; a daemon whose digest differs asks for the versions and then for
the entries that are newer than its own. `PATIENT` topics are pulled only with
the heartbeats that go out anyway; the others make daemons talk at once.
"""

from collections.abc import Iterable, Mapping
from typing import Protocol, TypeVar

EntryT = TypeVar("EntryT")

MEMBERS = 1
SETTINGS = 2
REMOTE = 4
IN_FORCE = 5
ROUTES = 6
CRASHES = 7
PATIENT = frozenset((MEMBERS, REMOTE, IN_FORCE))


class GossipSource(Protocol[EntryT]):
    """An aggregate that spreads small frozen entries.

    `revision` grows at every change of the content. A key's version only
    grows, a deletion being an entry of its own; `merge` ignores entries that
    are not newer than what it has.
    """

    @property
    def revision(self) -> int:
        """Changes whenever the content changes."""
        ...

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of each key."""
        ...

    def export(self, keys: Iterable[str]) -> tuple[EntryT, ...]:
        """Returns the entries of those keys that it has."""
        ...

    def merge(self, entries: Iterable[EntryT]) -> None:
        """Takes the entries that are newer than its own."""
        ...


class GossipTopic(Protocol):
    """A source whose entries were encoded."""

    @property
    def number(self) -> int:
        """The topic's number on the wire."""
        ...

    @property
    def revision(self) -> int:
        """Changes whenever the content changes."""
        ...

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of each key."""
        ...

    def export(self, keys: Iterable[str]) -> tuple[bytes, ...]:
        """Returns the entries of those keys that it has."""
        ...

    def merge(self, entries: Iterable[bytes]) -> None:
        """Takes the entries that are newer than its own."""
        ...
