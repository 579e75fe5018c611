"""Decides which daemon is the home of a bare key and if it may run the call.

The home of a key is the only daemon that may run calls with the key; it claims
the key when it starts the first of them. A bare key is made by the caller, not
issued by a daemon, and names no home. Its home is the daemon with the highest
rendezvous weight among the daemons of the service in the data centre.

A daemon is never removed from the registry because it is silent: a paused or
unreachable one may still run a call. It is removed only if it announced its
departure, if another process of the same instance replaced it, or if an
operator declared the instance destroyed.

A daemon runs a call with a bare key only if it has been the home of the key,
acknowledged by every other daemon, for longer than the key may be old, or if it
knows of every key that was claimed in that time. Otherwise another daemon may
have run a call with the key, and the call is refused.
"""

from collections.abc import Iterable
import dataclasses

from kumquatridge import clock
from kumquatridge.idempotency import keys
from kumquatridge.idempotency import settings as key_settings

# `Registration.number` of an instance that is retired before it registered.
# Registrations of its processes have higher numbers.
UNREGISTERED_NUMBER = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """One daemon of the registry, as exchanged between daemons.

    A higher `number` of an instance denotes a newer process of it. `left` is
    set when the process has left as a home or was retired; that process does
    not become a home again.
    """

    instance: str
    number: int
    left: bool = False

    @property
    def version(self) -> tuple[int, bool]:
        """Orders the registrations of one instance; the highest is valid."""
        return (self.number, self.left)


@dataclasses.dataclass(frozen=True, slots=True)
class LocalHome:
    """This daemon is the home of the key and may run the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteHome:
    """Another daemon is the home of the key."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unproved:
    """Whether a call with the key has run is not known; `detail` says why."""

    detail: str


HomeDecision = LocalHome | RemoteHome | Unproved


class HomeRegistry:
    """The daemons of this daemon's service in its data centre.

    The period for which a daemon knows of every claimed key is kept as the time
    at which it began (`covered_since_ms`), on the local clock. Between daemons
    the length of the period up to now is exchanged instead (`covered_ms`),
    since their clocks differ. `number` is that of this daemon's registration.
    """

    def __init__(
        self, settings: key_settings.KeySettings, instance: str, number: int
    ) -> None:
        self._settings = settings
        self._own = Registration(instance, number)
        self._joined = False
        self._registrations: dict[str, Registration] = {}
        self._has_left = False
        # For each instance that left, the time since which this daemon knows of
        # all keys that the instance claimed.
        self._left_covered_since_ms: dict[str, float] = {}
        # The same for each instance that acknowledged this daemon.
        self._covered_since_ms: dict[str, float] = {}
        # For each instance, the number of the last process whose predecessor
        # ended without leaving.
        self._numbers_after_crash: dict[str, int] = {}
        # Instances that membership lists but that have not registered yet.
        self._unregistered: set[str] = set()
        # For each instance, the number of the process that acknowledged this
        # daemon.
        self._acknowledged_numbers: dict[str, int] = {}
        self._may_be_first_home = False
        self._knows_established_daemon = False
        # Start of the period for which this daemon counts as established.
        self._established_ms: float | None = None

    @property
    def is_established(self) -> bool:
        """Whether this daemon has been accepted as a home of bare keys.

        That is the case once every other daemon has acknowledged it and one of
        them was established; the latter is not needed if this daemon may be the
        first home (see `join`).
        """
        return self._established_ms is not None

    @property
    def has_left(self) -> bool:
        """Whether this daemon has withdrawn its registration."""
        return self._has_left

    @property
    def current(self) -> Registration:
        """This daemon's registration, with `left` set once it is withdrawn."""
        return dataclasses.replace(self._own, left=self._has_left)

    @property
    def own(self) -> Registration:
        """This daemon's registration as of its start, without `left`."""
        return self._own

    @property
    def registrations(self) -> tuple[Registration, ...]:
        """All known registrations, including this daemon's own."""
        return tuple(self._registrations.values())

    @property
    def pending(self) -> frozenset[str]:
        """Instances that have not yet acknowledged this daemon."""
        waiting = {
            registration.instance
            for registration in self._registrations.values()
            if not registration.left
            and registration.instance != self._own.instance
            and self._acknowledged_numbers.get(registration.instance)
            != registration.number
        }
        return frozenset(waiting | self._unregistered)

    def join(self, *, may_be_first_home: bool) -> None:
        """Adds this daemon when its worker first announces itself.

        Later calls only update `may_be_first_home`. If that is set, this daemon
        may become established although no established one has answered it. If
        that were always allowed, two daemons that restart while cut off from a
        third would assume that they are the whole service.
        """
        if not self._joined:
            self._joined = True
            self._registrations[self._own.instance] = self._own
        self._may_be_first_home = may_be_first_home
        self._check_established()

    def leave(self) -> None:
        """Withdraws this daemon permanently as a home of bare keys."""
        if self._joined and not self._has_left:
            self._has_left = True
            self._merge_registration(self.current)

    def add_instances(self, instances: Iterable[str]) -> None:
        """Adds instances that membership lists for this service."""
        for instance in instances:
            if instance not in self._registrations:
                self._unregistered.add(instance)

    def merge(self, registrations: Iterable[Registration]) -> bool:
        """Merges the registrations of a peer; returns whether any changed."""
        changed = [
            registration
            for registration in registrations
            if self._merge_registration(registration)
        ]
        return bool(changed)

    def record_acknowledgement(
        self,
        registration: Registration,
        *,
        is_established: bool,
        covered_ms: float,
    ) -> None:
        """Records that another daemon knows this daemon's registration.

        That daemon has handed over the keys that it knows. They include all
        keys of which it was the home and which were made during the last
        `covered_ms`. `is_established` tells whether it is established itself.
        """
        self._merge_registration(registration)
        self._knows_established_daemon |= is_established
        self._covered_since_ms[registration.instance] = (
            clock.get_now_ms() - covered_ms
        )
        self._acknowledged_numbers[registration.instance] = registration.number
        self._check_established()

    def record_leave(
        self, registration: Registration, covered_ms: float
    ) -> None:
        """Records that a daemon left and handed its keys over.

        `covered_ms` is as for `record_acknowledgement`.
        """
        self._merge_registration(registration)
        if self._registrations.get(registration.instance) == registration:
            self._left_covered_since_ms[registration.instance] = min(
                self._left_covered_since_ms[registration.instance],
                clock.get_now_ms() - covered_ms,
            )

    def get_covered_ms(self, requester: Registration | None) -> float:
        """Returns for how long this daemon has known of every claimed key.

        The retention time is the maximum. `requester` is the daemon to which
        the period is sent, None if it goes to all. The period is 0 for a
        requester whose predecessor ended without leaving: the keys that this
        predecessor claimed are not known here.
        """
        if self._established_ms is None:
            return 0.0
        if requester is not None and self._has_crashed_predecessor(requester):
            return 0.0
        covered_since_ms = max(
            (self._established_ms, *self._left_covered_since_ms.values())
        )
        covered_ms = clock.get_now_ms() - covered_since_ms
        return max(0.0, min(covered_ms, self._settings.retention_ms))

    def retire(self, instance: str) -> bool:
        """Marks an instance as destroyed, at the request of an operator.

        Returns False for this daemon's instance and for one that is unknown or
        has left.
        """
        if instance == self._own.instance:
            return False
        if instance in self._unregistered:
            return self._merge_registration(
                Registration(instance, UNREGISTERED_NUMBER, True)
            )
        registration = self._registrations.get(instance)
        if registration is None or registration.left:
            return False
        return self._merge_registration(
            dataclasses.replace(registration, left=True)
        )

    def decide(self, key_digest: str, key_age_ms: float) -> HomeDecision:
        """Decides whether this daemon may run a call with a bare key.

        `key_age_ms` is the longest time that may have passed since the caller
        made the key. A key that is older than the retention time may have been
        forgotten by its home.
        """
        candidates = [
            registration.instance
            for registration in self._registrations.values()
            if not registration.left
        ]
        candidates.extend(self._unregistered)
        if not candidates:
            return Unproved("this daemon is not a home of the service")
        home = max(
            candidates,
            key=lambda name: keys.get_rendezvous_weight(name, key_digest),
        )
        if home != self._own.instance:
            return RemoteHome(home)
        if self._registrations[home] != self._own:
            return Unproved("another process took this daemon's place")
        if self._established_ms is None:
            return Unproved("daemons of the service have yet to agree")
        # How long this daemon has been the home of the key, or has known of
        # every key that former homes claimed.
        home_for_ms = clock.get_now_ms() - max(
            self._established_ms, self._get_left_covered_since_ms(key_digest)
        )
        if home_for_ms < key_age_ms:
            return Unproved("the key may be older than its home's tenure")
        if key_age_ms > self._settings.retention_ms:
            return Unproved("the key may be older than its home's memory")
        return LocalHome()

    def _has_crashed_predecessor(self, registration: Registration) -> bool:
        """Tells whether the process before this one ended without leaving."""
        return (
            self._numbers_after_crash.get(registration.instance)
            == registration.number
        )

    def _get_left_covered_since_ms(self, key_digest: str) -> float:
        """Returns the time since which all keys of former homes are known.

        Former homes of a key are the daemons that left and have a higher
        rendezvous weight for the key than this one. Without any, the time is
        minus infinity.
        """
        own_weight = keys.get_rendezvous_weight(self._own.instance, key_digest)
        return max(
            (
                since_ms
                for instance, since_ms in self._left_covered_since_ms.items()
                if keys.get_rendezvous_weight(instance, key_digest) > own_weight
            ),
            default=float("-inf"),
        )

    def _merge_registration(self, registration: Registration) -> bool:
        """Stores a registration that is newer; returns whether it was stored.

        The keys of a daemon that left count as unknown until `record_leave`.
        """
        known = self._registrations.get(registration.instance)
        if known is not None and known.version >= registration.version:
            return False
        if registration.instance == self._own.instance and not self._joined:
            return False
        if (
            known is not None
            and not known.left
            and registration.number > known.number
        ):
            self._numbers_after_crash[registration.instance] = (
                registration.number
            )
        self._registrations[registration.instance] = registration
        self._unregistered.discard(registration.instance)
        if registration.left and registration.instance != self._own.instance:
            self._left_covered_since_ms[registration.instance] = (
                clock.get_now_ms()
            )
        self._check_established()
        return True

    def _check_established(self) -> None:
        """Marks this daemon as established once the conditions are met.

        It then counts as established since the time from which on the keys that
        it received from the other daemons are complete, or since now if no
        other daemon has acknowledged it.
        """
        if self._established_ms is not None or not self._joined:
            return
        if (
            self._may_be_first_home or self._knows_established_daemon
        ) and not self.pending:
            self._established_ms = max(
                self._covered_since_ms.values(), default=clock.get_now_ms()
            )
