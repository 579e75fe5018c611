"""Follows the route table that the platform publishes.

Only a few daemons of each data centre watch the platform; the others receive
each table by gossip. A daemon calls the platform itself while it has no recent
sign that some daemon is in touch with it: it may be cut off from its peers, or
the watching daemons from the platform.
"""

import asyncio
import dataclasses
import math
import random
from typing import Protocol, Self

from kumquatridge import background
from kumquatridge import clock
from kumquatridge.settings import errors
from kumquatridge.settings import route_store
from kumquatridge.settings import routes
from kumquatridge.telemetry import events

# The peers are taken to be known when as many checks in a row found no other.
SETTLED_CHECKS = 4
# Shares of the time within which a change must be in force.
FIRST_WINDOW_RATIO = 0.5
MAX_SIGN_AGE_RATIO = 0.75


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTableSnapshot:
    """A route table and the platform's revision at which it was read.

    `table` is None if none is published, if the published one is not valid, or
    if a wait ended without a change.
    """

    table: routes.RouteTable | None
    revision: int


class RouteRepository(Protocol):
    """Repository in which the operators publish the route table.

    Both methods raise RepositoryError if the platform does not answer.
    """

    async def read(self, *, allow_stale: bool = False) -> RouteTableSnapshot:
        """Returns the newest table.

        With `allow_stale` it may be seconds old, which costs the platform less.
        """
        ...

    async def wait_for_change(
        self, since_revision: int, window_ms: float
    ) -> RouteTableSnapshot:
        """Waits for a change after a revision and returns the newest table.

        If nothing changes within `window_ms`, the snapshot has no table.

        Raises:
          HistoryLostError: the revision is too old to watch from.
        """
        ...


class WatchRole(Protocol):
    """Whether this daemon watches the platform for others."""

    def has_settled(self) -> bool:
        """Returns whether the known peers are the same as at the last call.

        False while none is known.
        """
        ...

    def is_watcher(self) -> bool:
        """Returns whether this daemon was selected to watch the platform."""
        ...

    def is_first(self) -> bool:
        """Returns whether this daemon is the first of all watchers."""
        ...

    def is_deputy(self) -> bool:
        """Returns whether this daemon watches because of a doubt."""
        ...

    def raise_doubt(self) -> None:
        """Tells other daemons that the first watcher has lost touch."""
        ...

    def get_sign_age_ms(self) -> float:
        """Returns the age of the newest sign of a working watch.

        Infinite if there was none.
        """
        ...

    def set_watching(self, is_watching: bool) -> None:
        """Says whether the watch of this daemon works.

        Called with True at each answer of the platform.
        """
        ...


class SoleWatcher:
    """The role of a daemon that has no peers to rely on."""

    def has_settled(self) -> bool:
        """Returns True: there are none to wait for."""
        return True

    def is_watcher(self) -> bool:
        """Returns True."""
        return True

    def is_first(self) -> bool:
        """Returns True."""
        return True

    def get_sign_age_ms(self) -> float:
        """Returns infinity."""
        return math.inf

    def is_deputy(self) -> bool:
        """Returns False: there is no other watcher."""
        return False

    def raise_doubt(self) -> None:
        """Does nothing."""

    def set_watching(self, is_watching: bool) -> None:
        """Does nothing."""


@dataclasses.dataclass(frozen=True, slots=True)
class RouteWatchSettings:
    """Timing of the calls to the platform.

    A watch lasts at most `window_ms`, that of the first watcher at most
    `first_window_ms`. If all watches silently stop delivering, the first
    watcher notices this by its time-out, reads, and publishes a change to the
    others. With the time-out it also raises a doubt, upon which deputies
    read. The pause of `pause_ms` after each change limits a burst of changes to
    a few calls per second. After a first failure the next call follows at once,
    after the second in 0.5 to 1.5 times `retry_ms`, doubled with each further
    failure up to `max_retry_ms`.

    A daemon that is no watcher calls the platform while the newest sign of a
    working watch is older than `max_sign_age_ms`; it checks this every
    `check_ms`. After its start it waits until it learns of no more peers, for
    `join_ms` at most: a daemon without peers takes itself for a watcher.
    """

    window_ms: float = 4500.0
    first_window_ms: float = 1200.0
    pause_ms: float = 250.0
    retry_ms: float = 400.0
    max_retry_ms: float = 1600.0
    max_sign_age_ms: float = 1500.0
    check_ms: float = 100.0
    join_ms: float = 2000.0

    @classmethod
    def for_bound(cls, apply_ms: float) -> Self:
        """Returns settings for changes to be in force within `apply_ms`."""
        return cls(
            first_window_ms=apply_ms * FIRST_WINDOW_RATIO,
            max_sign_age_ms=apply_ms * MAX_SIGN_AGE_RATIO,
        )


class RouteWatch(background.BackgroundOwner):
    """Keeps the route table up to date while its context is open."""

    def __init__(
        self,
        settings: RouteWatchSettings,
        repository: RouteRepository,
        store: route_store.RouteStore,
        seed: int,
        role: WatchRole | None = None,
    ) -> None:
        self._settings = settings
        self._repository = repository
        self._store = store
        self._random = random.Random(seed)
        self._role = role or SoleWatcher()
        self._joined_ms = -math.inf
        # Failed calls since the last answer.
        self._failures = 0
        # The revision from which the next watch starts; None if it is unknown
        # and the table has to be read.
        self._revision: int | None = None

    async def _run(self) -> None:
        try:
            await self._read_first()
            self._joined_ms = clock.get_now_ms()
            while True:
                if self._is_due():
                    await self._follow()
                else:
                    self._role.set_watching(False)
                    # The next call is a read, which is answered at once.
                    self._revision = None
                    await asyncio.sleep(self._settings.check_ms / 1000.0)
        finally:
            self._role.set_watching(False)

    def _is_due(self) -> bool:
        """Returns whether this daemon has to call the platform itself.

        The first sign may take as long as any other, counted from the join.
        """
        if self._role.is_watcher() or self._role.is_deputy():
            return True
        age_ms = min(
            self._role.get_sign_age_ms(),
            clock.get_now_ms() - self._joined_ms,
        )
        return age_ms > self._settings.max_sign_age_ms

    async def _read_first(self) -> None:
        """Reads a table that may be old; peers or a watch deliver a newer one.

        If there is none, the daemon calls the platform again at once.
        """
        try:
            snapshot = await self._repository.read(allow_stale=True)
        except errors.RepositoryError as error:
            self._record_failure(str(error))
            return
        self._record_answer()
        if snapshot.table is not None:
            self._store.apply(snapshot.table, "platform")
            await self._wait_for_peers()

    async def _wait_for_peers(self) -> None:
        """Waits until the peers are known, at most for the join period."""
        checks = int(self._settings.join_ms / self._settings.check_ms)
        settled_checks = 0
        for _ in range(checks):
            settled_checks = (
                settled_checks + 1 if self._role.has_settled() else 0
            )
            if settled_checks == SETTLED_CHECKS:
                return
            await asyncio.sleep(self._settings.check_ms / 1000.0)

    async def _follow(self) -> None:
        """Makes one call to the platform and applies what it returns."""
        revision = self._revision
        try:
            if revision is None:
                snapshot = await self._repository.read()
            else:
                snapshot = await self._repository.wait_for_change(
                    revision, self._get_window_ms()
                )
        except errors.HistoryLostError:
            self._revision = None
            return
        except errors.RepositoryError as error:
            self._record_failure(str(error))
            self._revision = None
            if self._failures > 1:
                await asyncio.sleep(self._get_retry_ms() / 1000.0)
            return
        self._record_answer()
        self._role.set_watching(True)
        self._revision = snapshot.revision
        if snapshot.table is not None:
            self._store.apply(snapshot.table, "platform")
        if snapshot.revision != revision:
            await asyncio.sleep(self._settings.pause_ms / 1000.0)

    def _get_window_ms(self) -> float:
        """Returns the window with jitter, so that daemons don't synchronise."""
        if self._role.is_first():
            return self._settings.first_window_ms
        return self._settings.window_ms * self._random.uniform(0.7, 1.0)

    def _get_retry_ms(self) -> float:
        retry_ms = self._settings.retry_ms * 2.0 ** (self._failures - 2)
        retry_ms = min(retry_ms, self._settings.max_retry_ms)
        return retry_ms * self._random.uniform(0.5, 1.5)

    def _record_failure(self, reason: str) -> None:
        self._role.set_watching(False)
        self._failures += 1
        if self._failures == 1:
            if self._role.is_first():
                self._role.raise_doubt()
            events.log(events.PlatformLost("routes", reason))

    def _record_answer(self) -> None:
        if self._failures > 0:
            self._failures = 0
            events.log(events.PlatformReturned("routes", self._store.version))
