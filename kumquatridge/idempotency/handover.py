"""Exchange of keys and registrations between the daemons of one service.

The home of a key is the daemon that may run calls with the key; it claims the
key when it starts such a call. A daemon that joins receives the claimed keys of
every other daemon, and a daemon that leaves sends its keys to all others. When
the home of a key changes, the new home therefore knows whether the key was
claimed, and does not have to wait until the key is too old to be resent.
"""

import dataclasses

from kumquatridge import clock
from kumquatridge.idempotency import home_registry
from kumquatridge.idempotency import key_table as key_tables
from kumquatridge.idempotency import settings as key_settings


@dataclasses.dataclass(frozen=True, slots=True)
class Handover:
    """The keys that the sender claimed, or received from other daemons.

    `scopes` are the digests under which the keys are stored. For the last
    `covered_ms` before this message they are complete: they include every
    claimed key that was made in that period and had the sender as its home.
    `covered_ms` is 0 if the sender can't vouch for any period.
    """

    scopes: tuple[str, ...]
    covered_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class HomeUpdate:
    """The message that two daemons of a service exchange.

    `own` is the registration of the sender, and `registrations` are all that it
    knows. `is_established` tells whether the sender has been accepted as a home
    of bare keys, which are made by callers and name no home (see
    `home_registry`). `handover` is set if the sender has left, and in an answer
    to a daemon that is not established.
    """

    own: home_registry.Registration
    is_established: bool
    registrations: tuple[home_registry.Registration, ...]
    handover: Handover | None


@dataclasses.dataclass(frozen=True, slots=True)
class _HandedOverKey:
    """The instance that handed a key over, and the local time of arrival."""

    instance: str
    received_ms: float


class HandedOverKeys:
    """Keys that other daemons claimed, kept for the retention time.

    The time counts from their arrival here.
    """

    def __init__(self, settings: key_settings.KeySettings) -> None:
        self._settings = settings
        # By key digest, in the order of arrival.
        self._entries: dict[str, _HandedOverKey] = {}

    @property
    def key_digests(self) -> tuple[str, ...]:
        """The digests of all handed over keys that have not expired."""
        self._expire()
        return tuple(self._entries)

    def add(self, instance: str, key_digests: tuple[str, ...]) -> None:
        """Adds the key digests that another daemon handed over.

        A key that was handed over before counts as received now, from
        `instance`.
        """
        self._expire()
        entry = _HandedOverKey(instance, clock.get_now_ms())
        for key_digest in key_digests:
            self._entries.pop(key_digest, None)
            self._entries[key_digest] = entry

    def find(self, key_digest: str) -> str | None:
        """Returns the instance that handed a key over last, or None.

        Expired keys are found until `add` or `key_digests` removes them.
        """
        entry = self._entries.get(key_digest)
        return None if entry is None else entry.instance

    def _expire(self) -> None:
        """Removes the keys that arrived longer ago than the retention time."""
        oldest_ms = clock.get_now_ms() - self._settings.retention_ms
        while self._entries:
            key_digest = next(iter(self._entries))
            if self._entries[key_digest].received_ms > oldest_ms:
                return
            del self._entries[key_digest]


class HomeExchange:
    """Creates and applies the home updates of one daemon."""

    def __init__(
        self,
        registry: home_registry.HomeRegistry,
        key_table: key_tables.KeyTable,
        handed_over_keys: HandedOverKeys,
    ) -> None:
        self._registry = registry
        self._key_table = key_table
        self._handed_over_keys = handed_over_keys

    def make_request(self) -> HomeUpdate:
        """Returns the update to send, with the keys if this daemon has left."""
        return self._make_update(with_handover=self._registry.has_left)

    def handle_request(self, update: HomeUpdate) -> HomeUpdate:
        """Applies the update of another daemon and returns the answer.

        The answer hands the keys of this daemon over if the other daemon is not
        established yet, or if this one has left.
        """
        self._apply(update)
        return self._make_update(
            with_handover=not update.is_established or self._registry.has_left,
            requester=update.own,
        )

    def handle_answer(self, update: HomeUpdate) -> None:
        """Applies the answer to this daemon's update.

        The other daemon counts as having acknowledged this one only if the
        answer contains this daemon's registration.
        """
        self._apply(update)
        if self._registry.own not in update.registrations:
            return
        covered_ms = 0.0
        if update.handover is not None:
            self._handed_over_keys.add(
                update.own.instance, update.handover.scopes
            )
            covered_ms = update.handover.covered_ms
        self._registry.record_acknowledgement(
            update.own,
            is_established=update.is_established,
            covered_ms=covered_ms,
        )

    def _apply(self, update: HomeUpdate) -> None:
        if update.own.left and update.handover is not None:
            self._handed_over_keys.add(
                update.own.instance, update.handover.scopes
            )
            self._registry.record_leave(update.own, update.handover.covered_ms)
        self._registry.merge(update.registrations)

    def _make_update(
        self,
        *,
        with_handover: bool,
        requester: home_registry.Registration | None = None,
    ) -> HomeUpdate:
        """Returns an update; `requester` is the daemon that it answers."""
        handover = None
        if with_handover:
            handover = Handover(
                self._key_table.key_digests
                + self._handed_over_keys.key_digests,
                self._registry.get_covered_ms(requester),
            )
        return HomeUpdate(
            self._registry.current,
            self._registry.is_established,
            self._registry.registrations,
            handover,
        )
