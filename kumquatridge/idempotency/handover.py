"""What daemons of one service tell each other about keys and homes.

A daemon that joins learns from each other daemon which keys that one has
claimed, and one that leaves tells all others. So a key that was claimed
before the home changed is known at its new home, which need not wait until
such keys are too old to be resent.
"""

import dataclasses

from kumquatridge import clock
from kumquatridge.idempotency import memory as key_memory
from kumquatridge.idempotency import roster as home_roster
from kumquatridge.idempotency import settings as key_settings


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """The keys that a daemon claimed or was told of, by scope.

    Complete for keys of which it was the home and that were made during the
    last `covered_ms`.
    """

    scopes: tuple[str, ...]
    covered_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class HomeUpdate:
    """One daemon's word to another."""

    own: home_roster.Registration
    is_established: bool
    registrations: tuple[home_roster.Registration, ...]
    handover: Handover | None


@dataclasses.dataclass(frozen=True, slots=True)
class _Handed:
    instance: str
    at_ms: float


class HandedKeys:
    """Keys that other daemons claimed, until they are too old to matter."""

    def __init__(self, settings: key_settings.KeySettings) -> None:
        self._settings = settings
        self._handed: dict[str, _Handed] = {}

    @property
    def scopes(self) -> tuple[str, ...]:
        """All keys that were handed over and still matter."""
        self._expire()
        return tuple(self._handed)

    def add(self, instance: str, scopes: tuple[str, ...]) -> None:
        """Takes the keys that another daemon claimed."""
        self._expire()
        handed = _Handed(instance, clock.get_now_ms())
        for scope in scopes:
            self._handed.pop(scope, None)
            self._handed[scope] = handed

    def find(self, scope: str) -> str | None:
        """Returns the daemon that told of a key, or None."""
        handed = self._handed.get(scope)
        return None if handed is None else handed.instance

    def _expire(self) -> None:
        """Drops old keys; they stand in the order in which they came."""
        oldest_ms = clock.get_now_ms() - self._settings.retention_ms
        while self._handed:
            scope = next(iter(self._handed))
            if self._handed[scope].at_ms > oldest_ms:
                return
            del self._handed[scope]


class HomeExchange:
    """Makes and takes the updates of one daemon."""

    def __init__(
        self,
        roster: home_roster.HomeRoster,
        memory: key_memory.KeyMemory,
        handed: HandedKeys,
    ) -> None:
        self._roster = roster
        self._memory = memory
        self._handed = handed

    def ask(self) -> HomeUpdate:
        """Returns the update to send; a leaving daemon hands its keys over."""
        return self._make_update(with_keys=self._roster.has_left)

    def answer(self, update: HomeUpdate) -> HomeUpdate:
        """Takes a daemon's update and returns the answer to it."""
        self._learn(update)
        return self._make_update(
            with_keys=not update.is_established or self._roster.has_left,
            asked_by=update.own,
        )

    def conclude(self, update: HomeUpdate) -> None:
        """Takes the answer to the own update."""
        self._learn(update)
        if self._roster.own not in update.registrations:
            return
        covered_ms = 0.0
        if update.handover is not None:
            self._handed.add(update.own.instance, update.handover.scopes)
            covered_ms = update.handover.covered_ms
        self._roster.acknowledge(
            update.own,
            is_established=update.is_established,
            covered_ms=covered_ms,
        )

    def _learn(self, update: HomeUpdate) -> None:
        if update.own.left and update.handover is not None:
            self._handed.add(update.own.instance, update.handover.scopes)
            self._roster.take_leave(update.own, update.handover.covered_ms)
        self._roster.learn(update.registrations)

    def _make_update(
        self,
        *,
        with_keys: bool,
        asked_by: home_roster.Registration | None = None,
    ) -> HomeUpdate:
        handover = None
        if with_keys:
            handover = Handover(
                self._memory.scopes + self._handed.scopes,
                self._roster.get_covered_ms(asked_by),
            )
        return HomeUpdate(
            self._roster.current,
            self._roster.is_established,
            self._roster.registrations,
            handover,
        )
