"""Follows the route table that the platform publishes."""

import asyncio
import dataclasses
import random
from typing import Protocol

from kumquatridge import background
from kumquatridge.settings import errors
from kumquatridge.settings import route_store
from kumquatridge.settings import routes
from kumquatridge.telemetry import events


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

    async def read(self) -> RouteTableSnapshot:
        """Returns the newest table."""
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


@dataclasses.dataclass(frozen=True, slots=True)
class RouteWatchSettings:
    """Timing of the calls to the platform.

    A watch lasts at most `window_ms`. If it silently stops delivering, the next
    one finds a change after that time, unless a peer passes it on sooner. The
    pause of `pause_ms` after each change limits a burst of changes to a few
    calls per second. After a failure the next call follows in 0.5 to 1.5 times
    `retry_ms`.
    """

    window_ms: float = 5000.0
    pause_ms: float = 250.0
    retry_ms: float = 400.0


class RouteWatch(background.BackgroundOwner):
    """Watches the platform for the route table while its context is open."""

    def __init__(
        self,
        settings: RouteWatchSettings,
        repository: RouteRepository,
        store: route_store.RouteStore,
        seed: int,
    ) -> None:
        self._settings = settings
        self._repository = repository
        self._store = store
        self._random = random.Random(seed)
        self._is_unanswered = False

    async def _run(self) -> None:
        revision: int | None = None
        while True:
            try:
                if revision is None:
                    snapshot = await self._repository.read()
                else:
                    snapshot = await self._repository.wait_for_change(
                        revision, self._get_window_ms()
                    )
            except errors.HistoryLostError:
                revision = None
                continue
            except errors.RepositoryError as error:
                self._record_failure(str(error))
                revision = None
                await asyncio.sleep(self._get_retry_ms() / 1000.0)
                continue
            self._record_answer()
            changed = snapshot.revision != revision
            revision = snapshot.revision
            if snapshot.table is not None:
                self._store.apply(snapshot.table, "platform")
            if changed:
                await asyncio.sleep(self._settings.pause_ms / 1000.0)

    def _get_window_ms(self) -> float:
        """Returns the window with jitter, so that daemons don't synchronise."""
        return self._settings.window_ms * self._random.uniform(0.7, 1.0)

    def _get_retry_ms(self) -> float:
        return self._settings.retry_ms * self._random.uniform(0.5, 1.5)

    def _record_failure(self, reason: str) -> None:
        if not self._is_unanswered:
            self._is_unanswered = True
            events.log(events.PlatformLost("routes", reason))

    def _record_answer(self) -> None:
        if self._is_unanswered:
            self._is_unanswered = False
            events.log(events.PlatformReturned("routes", self._store.version))
