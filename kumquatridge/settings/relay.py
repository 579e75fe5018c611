"""Brings settings from the platform into a data centre.

Only the relays of a data centre call the platform; the other daemons learn
from peers. A watch may go silent without an error, so each is opened anew
after a short window, and from just before the newest change known: one that
does not repeat that change is silent, and a listing of revisions takes its
place. Such a listing at a low rate finds what else no watch has told.
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

MAX_SINGLE_READS = 8


class RelayDuty(Protocol):
    """Tells whether this daemon calls the platform for its data centre."""

    def is_relay(self) -> bool:
        """Tells whether this daemon watches the platform."""
        ...

    def is_alone(self) -> bool:
        """Tells whether this daemon knows no other."""
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class RelaySettings:
    """How often a relay calls the platform.

    Each time is drawn between 1 - `jitter_ratio` and 1 + `jitter_ratio` of
    what is given, so that relays don't call at the same moment. A daemon that
    knows nobody waits for first contact with others, but at most about
    `alone_delay_s`: it may only just have started, along with all others.
    """

    instance: str
    data_centre: str
    start_delay_s: float = 2.0
    alone_delay_s: float = 20.0
    alone_check_s: float = 0.5
    duty_check_s: float = 2.0
    watch_window_s: float = 5.0
    repeat_timeout_s: float = 2.0
    listing_interval_s: float = 60.0
    first_backoff_s: float = 0.5
    max_backoff_s: float = 15.0
    jitter_ratio: float = 0.2


class SettingsRelay(background.BackgroundOwner):
    """Follows the platform while its context is open."""

    def __init__(
        self,
        settings: RelaySettings,
        *,
        nodes: repository.NodeRepository,
        store: settings_store.NodeStore,
        duty: RelayDuty,
        recorder: settings_recorder.SettingsRecorder,
        rng: random.Random,
        reach: platform_reach.ReachObserver | None = None,
    ) -> None:
        self._settings = settings
        self._nodes = nodes
        self._store = store
        self._duty = duty
        self._recorder = recorder
        self._reach = reach or platform_reach.ReachObserver()
        self._rng = rng
        self._seen: dict[str, int] = {}
        self._revision: int | None = None
        self._next_listing_ms = 0.0
        self._backoff_s = settings.first_backoff_s
        self._lost_at_ms: float | None = None

    async def _run(self) -> None:
        await self._wait_for_others()
        while True:
            if self._duty.is_relay():
                await self._follow()
            await asyncio.sleep(self._jitter(self._settings.duty_check_s))

    async def _wait_for_others(self) -> None:
        settings = self._settings
        await asyncio.sleep(self._jitter(settings.start_delay_s))
        alone_s = self._jitter(settings.alone_delay_s)
        ends_at_ms = clock.get_now_ms() + alone_s * 1000.0
        while True:
            if not self._duty.is_alone() or clock.get_now_ms() >= ends_at_ms:
                return
            await asyncio.sleep(self._jitter(settings.alone_check_s))

    async def _follow(self) -> None:
        settings = self._settings
        events.log(events.RelayStarted(settings.instance, settings.data_centre))
        while self._duty.is_relay():
            try:
                await self._take_turn()
            except errors.RepositoryError as error:
                self._note_lost("follow", error)
                await asyncio.sleep(self._jitter(self._backoff_s))
                self._backoff_s = min(
                    self._backoff_s * 2, settings.max_backoff_s
                )
            else:
                self._note_back()
        self._revision = None
        self._reach.note_stopped()
        events.log(events.RelayStopped(settings.instance, settings.data_centre))

    async def _take_turn(self) -> None:
        if self._revision is None:
            await self._list_nodes()
        if not await self._watch():
            await self._replace_watch()
        elif clock.get_now_ms() >= self._next_listing_ms:
            await self._look_for_missed()

    async def _list_nodes(self) -> None:
        listing = await self._nodes.list_nodes()
        self._take(listing.objects)
        self._store.mark_complete()
        self._revision = max(self._revision or 0, listing.revision)
        self._plan_listing(self._settings.listing_interval_s)

    async def _watch(self) -> bool:
        """Follows one watch; returns False if it was silent."""
        newest = max(self._seen.values(), default=0)
        since_revision = max(0, min(self._revision or 0, newest - 1))
        window_s = self._jitter(self._settings.watch_window_s)
        is_heard = newest == 0
        timeout_s = None if is_heard else self._settings.repeat_timeout_s
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s) as limit:
                async for found in self._nodes.watch(since_revision, window_s):
                    limit.reschedule(None)
                    is_heard = True
                    self._take((found,))
                    self._revision = max(self._revision or 0, found.revision)
                    self._note_back()
        return is_heard

    async def _replace_watch(self) -> None:
        """Lists in place of a silent watch, and waits as long as it would."""
        self._recorder.record_platform_failure("silent watch")
        await self._take_missed(await self._nodes.list_revisions())
        await asyncio.sleep(self._jitter(self._settings.watch_window_s))

    async def _look_for_missed(self) -> None:
        """Lists, and lets a watch tell of what is listed before reading it."""
        listed = await self._nodes.list_revisions()
        await self._watch()
        has_missed = await self._take_missed(listed)
        self._plan_listing(
            self._settings.watch_window_s
            if has_missed
            else self._settings.listing_interval_s
        )

    async def _take_missed(self, listed: Mapping[str, int]) -> bool:
        missed = self._find_unseen(listed)
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

    def _find_unseen(self, listed: Mapping[str, int]) -> tuple[str, ...]:
        return tuple(
            path
            for path, revision in listed.items()
            if revision > self._seen.get(path, 0)
        )

    async def _read(self, path: str) -> None:
        found = await self._nodes.read(path)
        if found is not None:
            self._take((found,))

    def _take(self, found: Iterable[repository.StoredObject]) -> None:
        records: list[settings_record.NodeRecord] = []
        for one in found:
            match one:
                case settings_record.StoredNode(record=record):
                    records.append(record)
                    self._note_seen(record.path, one.revision)
                case repository.Damaged(path, revision, reason):
                    self._note_damaged(path, revision, reason)
        self._store.merge(records)

    def _note_seen(self, path: str, revision: int) -> bool:
        if revision <= self._seen.get(path, 0):
            return False
        self._seen[path] = revision
        return True

    def _note_damaged(self, path: str, revision: int, reason: str) -> None:
        if self._note_seen(path, revision):
            self._recorder.record_rejection("damaged")
            events.log(events.SettingsObjectDamaged(path, reason))

    def _plan_listing(self, interval_s: float) -> None:
        self._next_listing_ms = (
            clock.get_now_ms() + self._jitter(interval_s) * 1000.0
        )

    def _jitter(self, time_s: float) -> float:
        ratio = self._settings.jitter_ratio
        return time_s * self._rng.uniform(1.0 - ratio, 1.0 + ratio)

    def _note_lost(self, operation: str, error: errors.RepositoryError) -> None:
        self._recorder.record_platform_failure(operation)
        self._reach.note_silence()
        if self._lost_at_ms is None:
            self._lost_at_ms = clock.get_now_ms()
            events.log(events.PlatformLost(operation, str(error)))

    def _note_back(self) -> None:
        self._reach.note_answer()
        if self._lost_at_ms is None:
            return
        lost_for_ms = clock.get_now_ms() - self._lost_at_ms
        self._lost_at_ms = None
        self._backoff_s = self._settings.first_backoff_s
        events.log(events.PlatformBack(round(lost_for_ms)))
