"""Which versions of the settings nodes each instance has in force.

Every daemon maintains an entry for itself; the entries are gossiped with the
heartbeats, like the settings nodes.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import time

from kumquatridge import clock
from kumquatridge.settings import platform_reach
from kumquatridge.settings import store as settings_store

# Entries that a daemon keeps, its own included.
MAX_INSTANCES = 512


@dataclasses.dataclass(frozen=True, slots=True)
class RelayView:
    """Whether the platform answers a relay, as sent to other daemons.

    `answers` is whether the platform answers now, and `answered` whether it has
    ever answered since the instance became a relay. `for_ms` is the time since
    `since_ms` of the corresponding `platform_reach` state: a duration, because
    the clocks of two daemons are not comparable.
    """

    answers: bool
    answered: bool
    for_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceVersions:
    """The versions of the settings nodes that one instance has in force.

    `version` is the version of this entry itself. It increases with each change
    of the entry, across restarts too, as it starts from wall-clock time.
    `digest` covers the versions of all nodes. `complete` is whether the
    instance has had all nodes that the platform stored at some moment. `view`
    is how the instance sees the platform; it is None if the instance is not a
    relay or has not called the platform yet. As durations go out of date,
    `view` is valid only in an entry that was just exported or received.
    """

    instance: str
    version: int
    digest: int
    complete: bool
    view: RelayView | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RelayReach:
    """The platform reach of one instance, in times of the local clock."""

    instance: str
    reach: platform_reach.PlatformReach


class InstanceTable:
    """The newest entry of each instance, including the local one.

    `own` is the name of the local instance, `store` holds its settings nodes.
    Above `MAX_INSTANCES` the remote entry that changed least recently is
    evicted, so that entries of instances that no longer exist don't accumulate.
    Every daemon applies the same rule.
    """

    def __init__(self, own: str, store: settings_store.NodeStore) -> None:
        self._own = own
        self._store = store
        self._entries: dict[str, InstanceVersions] = {}
        self._reaches: dict[str, platform_reach.PlatformReach] = {}
        self._revision = 0
        store.subscribe(self._update_own)
        self._update_own()

    @property
    def revision(self) -> int:
        """A counter that increases whenever an entry changes."""
        return self._revision

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of each instance's entry."""
        return {
            entry.instance: entry.version for entry in self._entries.values()
        }

    def export(self, keys: Iterable[str]) -> tuple[InstanceVersions, ...]:
        """Returns the entries of the given instances, skipping unknown ones."""
        return tuple(
            dataclasses.replace(
                self._entries[key], view=_make_relay_view(self._get_reach(key))
            )
            for key in keys
            if key in self._entries
        )

    def merge(self, entries: Iterable[InstanceVersions]) -> None:
        """Merges the entries that are newer than the known ones."""
        for entry in entries:
            if entry.instance != self._own:
                self._merge_entry(entry)

    def set_platform_reach(self, reach: platform_reach.PlatformReach) -> None:
        """Sets the platform reach that this daemon observes as a relay."""
        self._reaches[self._own] = reach
        self._update_own()
        self._store.changes.notify()

    def get_platform_reaches(self) -> tuple[RelayReach, ...]:
        """Returns the platform reach of every instance.

        It is `NotAsked` if the instance is not a relay.
        """
        return tuple(
            RelayReach(instance, self._get_reach(instance))
            for instance in self._entries
        )

    def find_lagging(self, instances: Iterable[str]) -> tuple[str, ...]:
        """Returns the given instances that lag behind the local store.

        They have no entry, or an entry with another digest than the store's.
        """
        return tuple(
            sorted(
                instance
                for instance in instances
                if not self._has_current_digest(instance)
            )
        )

    def _has_current_digest(self, instance: str) -> bool:
        entry = self._entries.get(instance)
        return entry is not None and entry.digest == self._store.digest

    def _merge_entry(self, entry: InstanceVersions) -> None:
        known = self._entries.get(entry.instance)
        if known is not None and known.version >= entry.version:
            return
        self._reaches[entry.instance] = _make_platform_reach(entry.view)
        self._set_entry(entry)
        self._evict_oldest()
        if entry.complete and entry.digest == self._store.digest:
            self._store.mark_complete()
        self._store.changes.notify()

    def _update_own(self) -> None:
        known = self._entries.get(self._own)
        version = time.time_ns() // 1_000_000
        if known is not None:
            version = max(version, known.version + 1)
        self._set_entry(
            InstanceVersions(
                self._own,
                version,
                self._store.digest,
                self._store.is_complete,
            )
        )
        # An equal digest means equal versions: if the instance of the entry has
        # all nodes, so has the local one.
        for entry in tuple(self._entries.values()):
            if entry.complete and entry.digest == self._store.digest:
                self._store.mark_complete()

    def _evict_oldest(self) -> None:
        if len(self._entries) <= MAX_INSTANCES:
            return
        remote_entries = (
            entry
            for entry in self._entries.values()
            if entry.instance != self._own
        )
        oldest = min(
            remote_entries, key=lambda entry: (entry.version, entry.instance)
        )
        del self._entries[oldest.instance]
        self._reaches.pop(oldest.instance, None)

    def _get_reach(self, instance: str) -> platform_reach.PlatformReach:
        return self._reaches.get(instance, platform_reach.NotAsked())

    def _set_entry(self, entry: InstanceVersions) -> None:
        self._entries[entry.instance] = entry
        self._revision += 1


def _make_relay_view(reach: platform_reach.PlatformReach) -> RelayView | None:
    match reach:
        case platform_reach.NotAsked():
            return None
        case platform_reach.Answering(since_ms):
            return RelayView(True, True, clock.get_now_ms() - since_ms)
        case platform_reach.Silent(since_ms):
            return RelayView(False, True, clock.get_now_ms() - since_ms)
        case platform_reach.NeverAnswered(since_ms):
            return RelayView(False, False, clock.get_now_ms() - since_ms)


def _make_platform_reach(
    view: RelayView | None,
) -> platform_reach.PlatformReach:
    if view is None:
        return platform_reach.NotAsked()
    since_ms = clock.get_now_ms() - view.for_ms
    if view.answers:
        return platform_reach.Answering(since_ms)
    if view.answered:
        return platform_reach.Silent(since_ms)
    return platform_reach.NeverAnswered(since_ms)
