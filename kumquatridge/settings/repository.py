"""Repository interfaces through which the aggregate stores its records."""

from collections.abc import AsyncIterator, Mapping
import dataclasses
from typing import Protocol

from kumquatridge.settings import in_force
from kumquatridge.settings import record as settings_record


@dataclasses.dataclass(frozen=True, slots=True)
class Stored:
    """The write took effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Nothing was written: the stored object now has another revision."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """Nothing was written: the platform denied the request."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost:
    """No answer arrived: whether the write took effect is not known."""

    reason: str


WriteReply = Stored | Conflict | Denied | AnswerLost


@dataclasses.dataclass(frozen=True, slots=True)
class Damaged:
    """An object whose value does not decode to a valid node."""

    path: str
    revision: int
    reason: str


StoredObject = settings_record.StoredNode | Damaged


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All stored nodes; `revision` is the newest that the listing covers."""

    objects: tuple[StoredObject, ...]
    revision: int


class NodeRepository(Protocol):
    """Stores nodes; every method has a deadline of its own.

    Reads may be stale. Every method except `write` raises RepositoryError if
    the platform does not answer in time.
    """

    async def read(self, path: str) -> StoredObject | None:
        """Returns a node, or None if it was never written."""
        ...

    async def write(self, stored: settings_record.StoredNode) -> WriteReply:
        """Stores a node if its object still has `stored.revision`.

        With revision 0 the node is stored only if no object exists yet.
        """
        ...

    async def list_nodes(self) -> Listing:
        """Returns all nodes and the revision of the listing."""
        ...

    async def list_revisions(self) -> Mapping[str, int]:
        """Returns the revision of each node's object by path."""
        ...

    def watch(
        self, since_revision: int, window_s: float
    ) -> AsyncIterator[StoredObject]:
        """Yields nodes changed after a revision; ends after `window_s`."""
        ...


class ReportRepository(Protocol):
    """Stores one report per data centre.

    Every method raises RepositoryError if the platform does not answer;
    `write_report` also does so if the platform refuses the write.
    """

    async def write_report(self, report: in_force.InForceReport) -> None:
        """Replaces the report of a data centre."""
        ...

    async def list_reports(self) -> tuple[in_force.InForceReport, ...]:
        """Returns the reports of all data centres."""
        ...
