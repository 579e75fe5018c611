"""The table of routes to services that is in force at a daemon."""

from collections.abc import Callable, Iterable, Mapping

from kumquatridge.settings import routes
from kumquatridge.telemetry import events

GOSSIP_KEY = "routes"


class RouteStore:
    """Holds the newest route table; its version only increases.

    It is also a gossip source with the table as its only entry, so that a
    daemon that can't reach the platform receives the table from its peers.
    `revision` counts the tables put in force at this daemon; gossip compares it
    to detect a change.
    """

    def __init__(self) -> None:
        self._index: routes.RouteIndex | None = None
        self._on_change: list[Callable[[routes.RouteIndex], None]] = []
        self.revision = 0

    @property
    def index(self) -> routes.RouteIndex | None:
        """The index of the table in force; None before the first table."""
        return self._index

    @property
    def version(self) -> int:
        """The version in force; `routes.NO_VERSION` before the first table."""
        if self._index is None:
            return routes.NO_VERSION
        return self._index.table.version

    def subscribe(self, listener: Callable[[routes.RouteIndex], None]) -> None:
        """Registers a listener, called with each index that is put in force."""
        self._on_change.append(listener)

    def apply(self, table: routes.RouteTable, source: str) -> bool:
        """Puts a table in force if it is newer; returns whether it is.

        `source` says in the log where the table comes from, such as "peer".
        """
        if table.version <= self.version:
            return False
        previous_version = self.version
        self._index = routes.RouteIndex(table)
        self.revision += 1
        events.log(
            events.RoutesApplied(
                table.version, previous_version, source, len(table.routes)
            )
        )
        for listener in self._on_change:
            listener(self._index)
        return True

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of the table by gossip key; empty without one."""
        if self._index is None:
            return {}
        return {GOSSIP_KEY: self.version}

    def export(self, keys: Iterable[str]) -> tuple[routes.RouteTable, ...]:
        """Returns the table if its gossip key is among `keys`."""
        if self._index is None or GOSSIP_KEY not in keys:
            return ()
        return (self._index.table,)

    def merge(self, entries: Iterable[routes.RouteTable]) -> None:
        """Applies the tables from a peer that are newer than the known one."""
        for table in entries:
            self.apply(table, "peer")
