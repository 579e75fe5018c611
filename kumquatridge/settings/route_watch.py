"""Keeps the route table in step with the platform."""

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
class ReadTable:
    """A table and the platform's revision at which it was read.

    `table` is None when there is none, or when it can't be read.
    """

    table: routes.RouteTable | None
    revision: int


class RouteRepository(Protocol):
    """Where the operators publish the table.

    Both calls raise RepositoryError when the platform doesn't answer.
    """

    async def read(self) -> ReadTable:
        """Returns the newest table."""
        ...

    async def wait_for_change(
        self, since_revision: int, window_ms: float
    ) -> ReadTable:
        """Returns the newest table after a change, or when time is up.

        Raises HistoryLostError when the revision is too old to watch from.
        """
        ...


@dataclasses.dataclass(frozen=True, slots=True)
class RouteWatchSettings:
    """How the platform is watched.

    A watch lasts `window_ms`: if it has gone silent, a change is seen after
    that time at the latest, well within the time in which peers pass it on.
    Between two changes `pause_ms` pass, so that a storm of changes costs a
    few calls a second. After a failure `retry_ms` pass, half to one and a
    half of it.
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
        self._is_lost = False

    async def _run(self) -> None:
        revision: int | None = None
        while True:
            try:
                if revision is None:
                    read = await self._repository.read()
                else:
                    read = await self._repository.wait_for_change(
                        revision, self._get_window_ms()
                    )
            except errors.HistoryLostError:
                revision = None
                continue
            except errors.RepositoryError as error:
                self._note_lost(str(error))
                revision = None
                await asyncio.sleep(self._get_retry_ms() / 1000.0)
                continue
            self._note_back()
            changed = read.revision != revision
            revision = read.revision
            if read.table is not None:
                self._store.apply(read.table, "platform")
            if changed:
                await asyncio.sleep(self._settings.pause_ms / 1000.0)

    def _get_window_ms(self) -> float:
        """Returns a window that differs from daemon to daemon."""
        return self._settings.window_ms * self._random.uniform(0.7, 1.0)

    def _get_retry_ms(self) -> float:
        return self._settings.retry_ms * self._random.uniform(0.5, 1.5)

    def _note_lost(self, reason: str) -> None:
        if not self._is_lost:
            self._is_lost = True
            events.log(events.PlatformLost("routes", reason))

    def _note_back(self) -> None:
        if self._is_lost:
            self._is_lost = False
            events.log(events.PlatformReturned("routes", self._store.version))
