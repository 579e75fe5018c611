"""The route table in force at a daemon."""

from collections.abc import Callable, Iterable, Mapping

from kumquatridge.settings import routes
from kumquatridge.telemetry import events

ENTRY_KEY = "routes"


class RouteStore:
    """Holds the newest route table; its version only grows.

    It is a source of gossip too, so that a daemon that the platform doesn't
    reach learns the table from others.
    """

    def __init__(self) -> None:
        self._index: routes.RouteIndex | None = None
        self._on_change: list[Callable[[routes.RouteIndex], None]] = []
        self.revision = 0

    @property
    def index(self) -> routes.RouteIndex | None:
        """The table in force; None before any was learnt."""
        return self._index

    @property
    def version(self) -> int:
        """The version in force; `routes.NO_VERSION` before any."""
        if self._index is None:
            return routes.NO_VERSION
        return self._index.table.version

    def subscribe(self, listener: Callable[[routes.RouteIndex], None]) -> None:
        """Calls a listener with each table that comes into force."""
        self._on_change.append(listener)

    def apply(self, table: routes.RouteTable, source: str) -> bool:
        """Puts a table in force if it is newer; returns whether it is."""
        if table.version <= self.version:
            return False
        before = self.version
        self._index = routes.RouteIndex(table)
        self.revision += 1
        events.log(
            events.RoutesApplied(
                table.version, before, source, len(table.routes)
            )
        )
        for listener in self._on_change:
            listener(self._index)
        return True

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of the table, once there is one."""
        if self._index is None:
            return {}
        return {ENTRY_KEY: self.version}

    def export(self, keys: Iterable[str]) -> tuple[routes.RouteTable, ...]:
        """Returns the table if it is asked for."""
        if self._index is None or ENTRY_KEY not in keys:
            return ()
        return (self._index.table,)

    def merge(self, entries: Iterable[routes.RouteTable]) -> None:
        """Takes tables that are newer."""
        for table in entries:
            self.apply(table, "peer")
