"""Which versions each instance of a data centre has in force.

Every daemon keeps one entry of its own; the entries spread along with the
heartbeats, as the nodes themselves do.
"""

from collections.abc import Iterable, Mapping
import dataclasses
import time

from kumquatridge import clock
from kumquatridge.settings import platform_reach
from kumquatridge.settings import store as settings_store

MAX_INSTANCES = 512


@dataclasses.dataclass(frozen=True, slots=True)
class RelayView:
    """Whether the platform answers a relay, and for how long it is so.

    A time span, as the clocks of two daemons have nothing in common.
    `answered` says whether any answer ever came.
    """

    answers: bool
    answered: bool
    for_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceVersions:
    """What one instance has in force.

    `version` grows with each change, over restarts too. `digest` stands for
    the versions of all nodes; `complete` says whether the instance knows all
    that the platform keeps; `view` is that of a relay when it was sent.
    """

    instance: str
    version: int
    digest: int
    complete: bool
    view: RelayView | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class RelayReach:
    """What one relay said of the platform; times are on the local clock."""

    instance: str
    reach: platform_reach.PlatformReach


class InstanceTable:
    """The newest entry of each instance, this one's included.

    Of more than `MAX_INSTANCES` those that changed last are kept, in the same
    way at every daemon, so that instances long gone don't pile up.
    """

    def __init__(self, own: str, store: settings_store.NodeStore) -> None:
        self._own = own
        self._store = store
        self._entries: dict[str, InstanceVersions] = {}
        self._reaches: dict[str, platform_reach.PlatformReach] = {}
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
        return tuple(
            dataclasses.replace(
                self._entries[key], view=_make_view(self._get_reach(key))
            )
            for key in keys
            if key in self._entries
        )

    def merge(self, entries: Iterable[InstanceVersions]) -> None:
        """Takes the entries that are newer."""
        for entry in entries:
            if entry.instance != self._own:
                self._take(entry)

    def set_platform_reach(self, reach: platform_reach.PlatformReach) -> None:
        """Takes what this daemon, as a relay, sees of the platform."""
        self._reaches[self._own] = reach
        self._update_own()
        self._store.changes.notify()

    def get_platform_reaches(self) -> tuple[RelayReach, ...]:
        """Returns what each instance said of the platform."""
        return tuple(
            RelayReach(instance, self._get_reach(instance))
            for instance in self._entries
        )

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
        self._reaches[entry.instance] = _read_view(entry.view)
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
        self._reaches.pop(oldest.instance, None)

    def _get_reach(self, instance: str) -> platform_reach.PlatformReach:
        return self._reaches.get(instance, platform_reach.NotAsked())

    def _put(self, entry: InstanceVersions) -> None:
        self._entries[entry.instance] = entry
        self._revision += 1


def _make_view(reach: platform_reach.PlatformReach) -> RelayView | None:
    match reach:
        case platform_reach.NotAsked():
            return None
        case platform_reach.Answering(since_ms):
            return RelayView(True, True, clock.get_now_ms() - since_ms)
        case platform_reach.Silent(since_ms):
            return RelayView(False, True, clock.get_now_ms() - since_ms)
        case platform_reach.NeverAnswered(since_ms):
            return RelayView(False, False, clock.get_now_ms() - since_ms)


def _read_view(view: RelayView | None) -> platform_reach.PlatformReach:
    if view is None:
        return platform_reach.NotAsked()
    since_ms = clock.get_now_ms() - view.for_ms
    if view.answers:
        return platform_reach.Answering(since_ms)
    if view.answered:
        return platform_reach.Silent(since_ms)
    return platform_reach.NeverAnswered(since_ms)
