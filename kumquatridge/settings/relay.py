"""Relays settings from the platform into a data centre.

Only the relays of a data centre, selected by `membership.relays`, call the
platform; the other daemons receive settings from peers. A watch can stop
delivering changes without an error, so each watch is reopened after a short
window, starting just before the newest known change. A watch that does not
deliver that change again is taken to be silent, and a listing of revisions
replaces it. The same listing, at a low rate, finds changes that no watch has
delivered.
"""

import asyncio
from collections.abc import Iterable, Mapping
import contextlib
import dataclasses
import random
from typing import Protocol

from kumquatridge import background
from kumquatridge import clock
from kumquatridge.settings import errors
from kumquatridge.settings import platform_reach
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import recorder as settings_recorder
from kumquatridge.settings import repository
from kumquatridge.settings import store as settings_store
from kumquatridge.telemetry import events

# More missed changes than this are read by one listing of all nodes.
MAX_SINGLE_READS = 8


class RelayRole(Protocol):
    """Whether this daemon calls the platform for its data centre."""

    def is_relay(self) -> bool:
        """Returns whether this daemon watches the platform."""
        ...

    def is_alone(self) -> bool:
        """Returns whether no live peer is known but one may yet be found."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class RelaySettings:
    """How often a relay calls the platform.

    Each interval is multiplied by a random factor from 1 - `jitter_ratio` to
    1 + `jitter_ratio`, so that relays don't call at the same time. A watch is
    reopened after `watch_window_s`. It is taken to be silent if it has neither
    repeated the newest known change nor delivered another within
    `repeat_timeout_s`. Revisions are listed every `listing_interval_s` to find
    missed changes. After a failed call the next one waits for
    `first_backoff_s`, doubled with each further failure up to `max_backoff_s`.

    A daemon that is no relay checks every `role_check_s` whether it has become
    one. `instance` and `data_centre` name the daemon in the log.

    A daemon that knows no peers `start_delay_s` after its start waits for its
    first contact with one, for about `first_contact_timeout_s` at most. If all
    daemons start at the same time, each would otherwise act as a relay.
    """

    instance: str
    data_centre: str
    start_delay_s: float = 2.0
    first_contact_timeout_s: float = 20.0
    first_contact_poll_s: float = 0.5
    role_check_s: float = 2.0
    watch_window_s: float = 5.0
    repeat_timeout_s: float = 2.0
    listing_interval_s: float = 60.0
    first_backoff_s: float = 0.5
    max_backoff_s: float = 15.0
    jitter_ratio: float = 0.2


class SettingsRelay(background.BackgroundOwner):
    """Follows changes at the platform while its context is open."""

    def __init__(
        self,
        settings: RelaySettings,
        *,
        node_repository: repository.NodeRepository,
        store: settings_store.NodeStore,
        role: RelayRole,
        recorder: settings_recorder.SettingsRecorder,
        rng: random.Random,
        reach: platform_reach.ReachObserver | None = None,
    ) -> None:
        self._settings = settings
        self._node_repository = node_repository
        self._store = store
        self._role = role
        self._recorder = recorder
        self._reach = reach or platform_reach.ReachObserver()
        self._rng = rng
        # The newest revision seen of each node's object, also of damaged ones.
        self._revision_by_path: dict[str, int] = {}
        # The newest revision that was listed or watched; None before the first
        # listing of all nodes since this daemon became a relay.
        self._revision: int | None = None
        # Time from which revisions are listed to find missed changes.
        self._next_listing_ms = 0.0
        self._backoff_s = settings.first_backoff_s
        # Time of the first failed call after the last answer; None while calls
        # are answered.
        self._unanswered_since_ms: float | None = None

    async def _run(self) -> None:
        await self._wait_for_peers()
        while True:
            if self._role.is_relay():
                await self._follow_platform()
            await asyncio.sleep(self._jitter(self._settings.role_check_s))

    async def _wait_for_peers(self) -> None:
        settings = self._settings
        await asyncio.sleep(self._jitter(settings.start_delay_s))
        timeout_s = self._jitter(settings.first_contact_timeout_s)
        ends_at_ms = clock.get_now_ms() + timeout_s * 1000.0
        while True:
            if not self._role.is_alone() or clock.get_now_ms() >= ends_at_ms:
                return
            await asyncio.sleep(self._jitter(settings.first_contact_poll_s))

    async def _follow_platform(self) -> None:
        settings = self._settings
        events.log(events.RelayStarted(settings.instance, settings.data_centre))
        while self._role.is_relay():
            try:
                await self._run_cycle()
            except errors.RepositoryError as error:
                self._record_failure("follow", error)
                await asyncio.sleep(self._jitter(self._backoff_s))
                self._backoff_s = min(
                    self._backoff_s * 2, settings.max_backoff_s
                )
            else:
                self._record_answer()
        self._revision = None
        self._reach.record_relay_stopped()
        events.log(events.RelayStopped(settings.instance, settings.data_centre))

    async def _run_cycle(self) -> None:
        if self._revision is None:
            await self._list_nodes()
        if not await self._watch():
            await self._list_instead_of_watch()
        elif clock.get_now_ms() >= self._next_listing_ms:
            await self._check_for_missed()

    async def _list_nodes(self) -> None:
        listing = await self._node_repository.list_nodes()
        self._apply(listing.objects)
        self._store.mark_complete()
        self._revision = max(self._revision or 0, listing.revision)
        self._schedule_listing(self._settings.listing_interval_s)

    async def _watch(self) -> bool:
        """Applies the changes of one watch; returns False if it was silent."""
        newest_revision = max(self._revision_by_path.values(), default=0)
        # Starts before the newest known change, so that the watch repeats it.
        since_revision = max(0, min(self._revision or 0, newest_revision - 1))
        window_s = self._jitter(self._settings.watch_window_s)
        # Without a known change there is none that the watch could repeat.
        has_delivered = newest_revision == 0
        timeout_s = None if has_delivered else self._settings.repeat_timeout_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s) as time_limit:
                async for stored_object in self._node_repository.watch(
                    since_revision, window_s
                ):
                    # This watch is not silent; only its window ends it now.
                    time_limit.reschedule(None)
                    has_delivered = True
                    self._apply((stored_object,))
                    self._revision = max(
                        self._revision or 0, stored_object.revision
                    )
                    self._record_answer()
        return has_delivered

    async def _list_instead_of_watch(self) -> None:
        """Lists revisions in place of a silent watch, then waits.

        The wait of `watch_window_s` keeps the rate of calls as low as that of
        working watches.
        """
        self._recorder.record_platform_failure("silent watch")
        await self._apply_missed(await self._node_repository.list_revisions())
        await asyncio.sleep(self._jitter(self._settings.watch_window_s))

    async def _check_for_missed(self) -> None:
        """Lists revisions and reads the nodes that no watch has delivered.

        The watch after the listing may still deliver listed changes; only those
        that it misses are counted and read.
        """
        listed = await self._node_repository.list_revisions()
        await self._watch()
        has_missed = await self._apply_missed(listed)
        self._schedule_listing(
            self._settings.watch_window_s
            if has_missed
            else self._settings.listing_interval_s
        )

    async def _apply_missed(self, listed: Mapping[str, int]) -> bool:
        """Reads the nodes with a newer revision; returns whether any had one.

        `listed` maps the path of each node to its revision at the platform.
        """
        missed = self._find_missed(listed)
        for path in missed:
            self._recorder.record_missed_change()
            events.log(events.WatchMissedChange(path))
        if not missed:
            self._store.mark_complete()
        elif len(missed) > MAX_SINGLE_READS:
            await self._list_nodes()
        else:
            for path in missed:
                await self._read(path)
        return bool(missed)

    def _find_missed(self, listed: Mapping[str, int]) -> tuple[str, ...]:
        return tuple(
            path
            for path, revision in listed.items()
            if revision > self._revision_by_path.get(path, 0)
        )

    async def _read(self, path: str) -> None:
        stored_object = await self._node_repository.read(path)
        if stored_object is not None:
            self._apply((stored_object,))

    def _apply(self, stored_objects: Iterable[repository.StoredObject]) -> None:
        records: list[settings_record.NodeRecord] = []
        for stored_object in stored_objects:
            match stored_object:
                case settings_record.StoredNode(record=record):
                    records.append(record)
                    self._record_revision(record.path, stored_object.revision)
                case repository.Damaged(path, revision, reason):
                    self._record_damaged(path, revision, reason)
        self._store.merge(records)

    def _record_revision(self, path: str, revision: int) -> bool:
        """Records the revision of a node; returns whether it is a newer one."""
        if revision <= self._revision_by_path.get(path, 0):
            return False
        self._revision_by_path[path] = revision
        return True

    def _record_damaged(self, path: str, revision: int, reason: str) -> None:
        if self._record_revision(path, revision):
            self._recorder.record_rejection("damaged")
            events.log(events.SettingsObjectDamaged(path, reason))

    def _schedule_listing(self, interval_s: float) -> None:
        self._next_listing_ms = (
            clock.get_now_ms() + self._jitter(interval_s) * 1000.0
        )

    def _jitter(self, duration_s: float) -> float:
        ratio = self._settings.jitter_ratio
        return duration_s * self._rng.uniform(1.0 - ratio, 1.0 + ratio)

    def _record_failure(
        self, operation: str, error: errors.RepositoryError
    ) -> None:
        self._recorder.record_platform_failure(operation)
        self._reach.record_failure()
        if self._unanswered_since_ms is None:
            self._unanswered_since_ms = clock.get_now_ms()
            events.log(events.PlatformLost(operation, str(error)))

    def _record_answer(self) -> None:
        self._reach.record_answer()
        if self._unanswered_since_ms is None:
            return
        lost_for_ms = clock.get_now_ms() - self._unanswered_since_ms
        self._unanswered_since_ms = None
        self._backoff_s = self._settings.first_backoff_s
        events.log(events.PlatformBack(round(lost_for_ms)))
