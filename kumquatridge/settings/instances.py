"""Which versions each instance of a data centre has in force.

Every daemon keeps one entry of its own; the entries spread along with the
heartbeats, as the nodes themselves do.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import time

from kumquatridge.settings import store as settings_store

MAX_INSTANCES = 512


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceVersions:
    """What one instance has in force.

    `version` grows with each change, over restarts too. `digest` stands for
    the versions of all nodes; `complete` says whether the instance knows all
    that the platform keeps.
    """

    instance: str
    version: int
    digest: int
    complete: bool


class InstanceTable:
    """The newest entry of each instance, this one's included.

    Of more than `MAX_INSTANCES` those that changed last are kept, in the same
    way at every daemon, so that instances long gone don't pile up.
    """

    def __init__(self, own: str, store: settings_store.NodeStore) -> None:
        self._own = own
        self._store = store
        self._entries: dict[str, InstanceVersions] = {}
        self._revision = 0
        store.on_applied(self._update_own)
        self._update_own()

    @property
    def revision(self) -> int:
        """Changes whenever an entry does."""
        return self._revision

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of each instance's entry."""
        return {one.instance: one.version for one in self._entries.values()}

    def export(self, keys: Iterable[str]) -> tuple[InstanceVersions, ...]:
        """Returns the entries of those instances that are known."""
        return tuple(self._entries[key] for key in keys if key in self._entries)

    def merge(self, entries: Iterable[InstanceVersions]) -> None:
        """Takes the entries that are newer."""
        for entry in entries:
            if entry.instance != self._own:
                self._take(entry)

    def find_behind(self, instances: Iterable[str]) -> tuple[str, ...]:
        """Returns the instances that have other versions, or never said."""
        return tuple(
            sorted(
                instance
                for instance in instances
                if not self._is_level(instance)
            )
        )

    def _is_level(self, instance: str) -> bool:
        entry = self._entries.get(instance)
        return entry is not None and entry.digest == self._store.digest

    def _take(self, entry: InstanceVersions) -> None:
        known = self._entries.get(entry.instance)
        if known is not None and known.version >= entry.version:
            return
        self._put(entry)
        self._drop_oldest()
        if entry.complete and entry.digest == self._store.digest:
            self._store.mark_complete()
        self._store.changes.notify()

    def _update_own(self) -> None:
        known = self._entries.get(self._own)
        version = time.time_ns() // 1_000_000
        if known is not None:
            version = max(version, known.version + 1)
        self._put(
            InstanceVersions(
                self._own,
                version,
                self._store.digest,
                self._store.is_complete,
            )
        )
        for entry in tuple(self._entries.values()):
            if entry.complete and entry.digest == self._store.digest:
                self._store.mark_complete()

    def _drop_oldest(self) -> None:
        if len(self._entries) <= MAX_INSTANCES:
            return
        others = (
            one for one in self._entries.values() if one.instance != self._own
        )
        oldest = min(others, key=lambda one: (one.version, one.instance))
        del self._entries[oldest.instance]

    def _put(self, entry: InstanceVersions) -> None:
        self._entries[entry.instance] = entry
        self._revision += 1
