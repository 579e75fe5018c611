"""Which daemon is the home of a bare key, and the proof that it is.

The roster holds the daemons of one service in one data centre. Silence never
removes a daemon from it: a paused or unreachable one may still run a key.
Only proof does: the daemon said that it leaves, another process of the same
instance took its place, or an operator said that the instance is destroyed.

A daemon runs a bare key only when it has been the key's home, beyond doubt of
any other daemon, for longer than the key can be old, or knows of every key
that was claimed in that time. Otherwise another daemon may have run it, and
nobody runs it again.
"""

from collections.abc import Iterable
import dataclasses

from kumquatridge import clock
from kumquatridge.idempotency import keys
from kumquatridge.idempotency import settings as key_settings

NEVER_MET_NUMBER = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Registration:
    """One daemon of the roster, as daemons tell each other.

    The higher `number` of an instance is the newer process, and `left` is
    final for a number.
    """

    instance: str
    number: int
    left: bool = False

    @property
    def age(self) -> tuple[int, bool]:
        """Orders the registrations of one instance."""
        return (self.number, self.left)


@dataclasses.dataclass(frozen=True, slots=True)
class Home:
    """This daemon is the home, with proof, and may run the key."""


@dataclasses.dataclass(frozen=True, slots=True)
class Elsewhere:
    """Another daemon is the home."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unproved:
    """No daemon can prove that the key was not run before."""

    detail: str


Judgement = Home | Elsewhere | Unproved


class HomeRoster:
    """The roster of one daemon's own service."""

    def __init__(
        self, settings: key_settings.KeySettings, instance: str, number: int
    ) -> None:
        self._settings = settings
        self._own = Registration(instance, number)
        self._joined = False
        self._registrations: dict[str, Registration] = {}
        self._has_left = False
        self._left_floor_ms: dict[str, float] = {}
        self._floor_ms: dict[str, float] = {}
        self._replaced: dict[str, int] = {}
        self._unmet: set[str] = set()
        self._acknowledged: dict[str, int] = {}
        self._may_found = False
        self._knows_established = False
        self._since_ms: float | None = None

    @property
    def is_established(self) -> bool:
        """Whether every other daemon of the roster knows this one."""
        return self._since_ms is not None

    @property
    def has_left(self) -> bool:
        """Whether this daemon gave its registration up."""
        return self._has_left

    @property
    def current(self) -> Registration:
        """This daemon's own registration, marked once it is given up."""
        return dataclasses.replace(self._own, left=self._has_left)

    @property
    def own(self) -> Registration:
        """This daemon's own registration."""
        return self._own

    @property
    def registrations(self) -> tuple[Registration, ...]:
        """All registrations for the peers, the own included."""
        return tuple(self._registrations.values())

    @property
    def pending(self) -> frozenset[str]:
        """Instances that have not yet acknowledged this daemon."""
        waiting = {
            registration.instance
            for registration in self._registrations.values()
            if not registration.left
            and registration.instance != self._own.instance
            and self._acknowledged.get(registration.instance)
            != registration.number
        }
        return frozenset(waiting | self._unmet)

    def join(self, *, may_found: bool) -> None:
        """Takes the own registration when the worker first announces itself.

        Only with `may_found` can a daemon be established before it has heard
        of one that is; otherwise two that restart while cut off from a third
        would each take the other for the whole service.
        """
        if not self._joined:
            self._joined = True
            self._registrations[self._own.instance] = self._own
        self._may_found = may_found
        self._check_established()

    def leave(self) -> None:
        """Ends the own registration for good; no bare key runs here then."""
        if self._joined and not self._has_left:
            self._has_left = True
            self._learn_registration(self.current)

    def meet(self, instances: Iterable[str]) -> None:
        """Takes the instances that membership knows of this service."""
        for instance in instances:
            if instance not in self._registrations:
                self._unmet.add(instance)

    def learn(self, registrations: Iterable[Registration]) -> bool:
        """Takes a peer's registrations; returns whether any was new."""
        changed = [
            registration
            for registration in registrations
            if self._learn_registration(registration)
        ]
        return bool(changed)

    def acknowledge(
        self,
        registration: Registration,
        *,
        is_established: bool,
        covered_ms: float,
    ) -> None:
        """Takes the word of a daemon that it knows this daemon's registration.

        It has told all keys that it knows, complete for those made during
        the last `covered_ms`.
        """
        self._learn_registration(registration)
        self._knows_established |= is_established
        self._floor_ms[registration.instance] = clock.get_now_ms() - covered_ms
        self._acknowledged[registration.instance] = registration.number
        self._check_established()

    def take_leave(self, registration: Registration, covered_ms: float) -> None:
        """Takes the word of a daemon that it leaves, with all its keys."""
        self._learn_registration(registration)
        if self._registrations.get(registration.instance) == registration:
            self._left_floor_ms[registration.instance] = min(
                self._left_floor_ms[registration.instance],
                clock.get_now_ms() - covered_ms,
            )

    def get_covered_ms(self, asked_by: Registration | None) -> float:
        """Returns how far back this daemon knows of every key.

        It knows of none that the asking daemon's own predecessor claimed,
        when that one ended without a word.
        """
        if self._since_ms is None:
            return 0.0
        if asked_by is not None and self._has_replaced(asked_by):
            return 0.0
        floor_ms = max((self._since_ms, *self._left_floor_ms.values()))
        covered_ms = clock.get_now_ms() - floor_ms
        return max(0.0, min(covered_ms, self._settings.retention_ms))

    def retire(self, instance: str) -> bool:
        """Takes an operator's word that an instance is destroyed."""
        if instance == self._own.instance:
            return False
        if instance in self._unmet:
            return self._learn_registration(
                Registration(instance, NEVER_MET_NUMBER, True)
            )
        registration = self._registrations.get(instance)
        if registration is None or registration.left:
            return False
        return self._learn_registration(
            dataclasses.replace(registration, left=True)
        )

    def judge(self, scope: str, key_age_ms: float) -> Judgement:
        """Decides whether this daemon may run a bare key.

        `key_age_ms` is how long ago the caller may have made the key.
        """
        present = [
            s.instance for s in self._registrations.values() if not s.left
        ]
        present.extend(self._unmet)
        if not present:
            return Unproved("this daemon is not a home of the service")
        home = max(present, key=lambda name: keys.rank(name, scope))
        if home != self._own.instance:
            return Elsewhere(home)
        if self._registrations[home] != self._own:
            return Unproved("another process took this daemon's place")
        if self._since_ms is None:
            return Unproved("daemons of the service have yet to agree")
        tenure_ms = clock.get_now_ms() - max(
            self._since_ms, self._get_left_floor_ms(scope)
        )
        if tenure_ms < key_age_ms:
            return Unproved("the key may be older than its home's tenure")
        if key_age_ms > self._settings.retention_ms:
            return Unproved("the key may be older than its home's memory")
        return Home()

    def _has_replaced(self, registration: Registration) -> bool:
        """Tells whether a registration's predecessor ended without a word."""
        return self._replaced.get(registration.instance) == registration.number

    def _get_left_floor_ms(self, scope: str) -> float:
        """Returns since when keys of homes that left are known here."""
        own_rank = keys.rank(self._own.instance, scope)
        return max(
            (
                floor_ms
                for instance, floor_ms in self._left_floor_ms.items()
                if keys.rank(instance, scope) > own_rank
            ),
            default=float("-inf"),
        )

    def _learn_registration(self, registration: Registration) -> bool:
        known = self._registrations.get(registration.instance)
        if known is not None and known.age >= registration.age:
            return False
        if registration.instance == self._own.instance and not self._joined:
            return False
        if (
            known is not None
            and not known.left
            and registration.number > known.number
        ):
            self._replaced[registration.instance] = registration.number
        self._registrations[registration.instance] = registration
        self._unmet.discard(registration.instance)
        if registration.left and registration.instance != self._own.instance:
            self._left_floor_ms[registration.instance] = clock.get_now_ms()
        self._check_established()
        return True

    def _check_established(self) -> None:
        if self._since_ms is not None or not self._joined:
            return
        if (self._may_found or self._knows_established) and not self.pending:
            self._since_ms = max(
                self._floor_ms.values(), default=clock.get_now_ms()
            )
