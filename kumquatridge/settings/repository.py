"""Where records of nodes are kept, as the aggregate sees it."""

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
    """Nothing was written: the object has another revision by now."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """Nothing was written: the platform refused it."""

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerLost:
    """Whether the write took effect is not known."""

    reason: str


WriteReply = Stored | Conflict | Denied | AnswerLost


@dataclasses.dataclass(frozen=True, slots=True)
class Damaged:
    """An object that holds no valid node."""

    path: str
    revision: int
    reason: str


StoredObject = settings_record.StoredNode | Damaged


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All nodes as of a revision of the platform."""

    objects: tuple[StoredObject, ...]
    revision: int


class NodeRepository(Protocol):
    """Keeps nodes; every method has a deadline of its own.

    Reads may be stale. Each method but `write` raises RepositoryError when
    the platform does not answer.
    """

    async def read(self, path: str) -> StoredObject | None:
        """Returns a node, or None when there never was one."""
        ...

    async def write(self, stored: settings_record.StoredNode) -> WriteReply:
        """Stores a node if its object still has the revision given."""
        ...

    async def list_nodes(self) -> Listing:
        """Returns all nodes."""
        ...

    async def list_revisions(self) -> Mapping[str, int]:
        """Returns the revision of each node's object by path."""
        ...

    def watch(
        self, since_revision: int, window_s: float
    ) -> AsyncIterator[StoredObject]:
        """Yields nodes as they change; ends after the window."""
        ...


class ReportRepository(Protocol):
    """Keeps one report for each data centre; may raise RepositoryError."""

    async def write_report(self, report: in_force.InForceReport) -> None:
        """Replaces the report of a data centre."""
        ...

    async def list_reports(self) -> tuple[in_force.InForceReport, ...]:
        """Returns the reports of all data centres."""
        ...
