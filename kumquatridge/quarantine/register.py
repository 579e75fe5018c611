"""Crashes of workers, by the fingerprint of the calls in progress.

The first crash makes a suspect of every call that was in progress. Suspects
are kept apart, so that further crashes point at one call. An answer clears
the fingerprint. Entries merge by union, whatever the order in which daemons
learn of them.
"""

from collections.abc import Callable, Iterable
import dataclasses
import secrets

from kumquatridge import clock
from kumquatridge.calls import call as calls
from kumquatridge.calls import refusals
from kumquatridge.quarantine import fingerprint as fingerprints

BOOT_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """When a fingerprint is refused and for how long.

    With `refused_crashes` a fingerprint is refused for `short_ms` and may
    then run alone once more; from `quarantined_crashes` it is refused until
    the entry expires. `share_ms` is how long the caller of a crashed call
    waits for its answer, so that peers know before it can send again. Losses
    within `crash_window_ms` belong to one crash.
    """

    refused_crashes: int = 2
    quarantined_crashes: int = 3
    short_ms: float = 900.0
    expiry_ms: float = 600_000.0
    share_ms: float = 250.0
    crash_window_ms: float = 200.0
    max_entries: int = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class CrashEntry:
    """What is known of a fingerprint, as daemons tell each other.

    `crashes` and `cleared` are ids of crashes; `age_ms` is the time since
    the last crash.
    """

    fingerprint: str
    crashes: tuple[str, ...]
    cleared: tuple[str, ...]
    age_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Clear:
    """Nothing speaks against the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """The call was in progress at crashes and must be kept apart."""

    fingerprint: str
    crashes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The call must not run now."""

    refusal: refusals.Quarantined


Suspicion = Clear | Suspect | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class _Known:
    crashes: frozenset[str]
    cleared: frozenset[str]
    last_ms: float

    @property
    def count(self) -> int:
        return len(self.crashes - self.cleared)


class CrashRegister:
    """The crashes that one daemon knows of."""

    def __init__(
        self,
        settings: QuarantineSettings,
        instance: str,
        on_change: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._instance = instance
        self._on_change = on_change
        self._known: dict[str, _Known] = {}
        self._boot = secrets.token_hex(BOOT_BYTES)
        self._crash_number = 0
        self.revision = 0
        self._crash_started_ms = float("-inf")

    @property
    def share_ms(self) -> float:
        """How long a crashed call's answer is held back."""
        return self._settings.share_ms

    def judge(self, call: calls.Call) -> Suspicion:
        """Decides whether a call may run, alone or at all."""
        if not self._known:
            return Clear()
        fingerprint = fingerprints.make_fingerprint(call)
        known = self._find(fingerprint)
        if known is None or known.count == 0:
            return Clear()
        wait_ms = self._get_wait_ms(known)
        if wait_ms > 0:
            return Refuse(refusals.Quarantined(fingerprint, int(wait_ms)))
        return Suspect(fingerprint, known.count)

    def record_crash(self, call: calls.Call) -> None:
        """Counts a call that was in progress when the worker died."""
        now_ms = clock.get_now_ms()
        if now_ms - self._crash_started_ms > self._settings.crash_window_ms:
            self._crash_number += 1
            self._crash_started_ms = now_ms
        crash = f"{self._instance}/{self._boot}/{self._crash_number}"
        self._take(
            fingerprints.make_fingerprint(call),
            _Known(frozenset((crash,)), frozenset(), now_ms),
        )
        self._on_change()

    def record_answer(self, fingerprint: str) -> None:
        """Clears a suspect that ran and was answered."""
        known = self._known.get(fingerprint)
        if known is None or known.count == 0:
            return
        self._take(
            fingerprint,
            _Known(known.crashes, known.crashes, known.last_ms),
        )
        self._on_change()

    def export(self) -> tuple[CrashEntry, ...]:
        """Returns all entries for the peers."""
        now_ms = clock.get_now_ms()
        self._expire()
        return tuple(
            CrashEntry(
                fingerprint,
                tuple(sorted(known.crashes)),
                tuple(sorted(known.cleared)),
                now_ms - known.last_ms,
            )
            for fingerprint, known in self._known.items()
        )

    def merge(self, entries: Iterable[CrashEntry]) -> bool:
        """Takes in what a peer knows; returns whether any was new."""
        now_ms = clock.get_now_ms()
        changed = False
        for entry in entries:
            if entry.age_ms >= self._settings.expiry_ms:
                continue
            changed |= self._take(
                entry.fingerprint,
                _Known(
                    frozenset(entry.crashes),
                    frozenset(entry.cleared),
                    now_ms - entry.age_ms,
                ),
            )
        return changed

    def _take(self, fingerprint: str, update: _Known) -> bool:
        known = self._known.get(fingerprint)
        if known is None:
            self._make_room()
            self._known[fingerprint] = update
            self.revision += 1
            return True
        merged = _Known(
            known.crashes | update.crashes,
            known.cleared | update.cleared,
            max(known.last_ms, update.last_ms),
        )
        self._known[fingerprint] = merged
        changed = (merged.crashes, merged.cleared) != (
            known.crashes,
            known.cleared,
        )
        self.revision += changed
        return changed

    def _get_wait_ms(self, known: _Known) -> float:
        settings = self._settings
        age_ms = clock.get_now_ms() - known.last_ms
        if known.count >= settings.quarantined_crashes:
            return settings.expiry_ms - age_ms
        if known.count >= settings.refused_crashes:
            return settings.short_ms - age_ms
        return 0.0

    def _find(self, fingerprint: str) -> _Known | None:
        known = self._known.get(fingerprint)
        if known is None:
            return None
        age_ms = clock.get_now_ms() - known.last_ms
        if age_ms < self._settings.expiry_ms:
            return known
        del self._known[fingerprint]
        return None

    def _expire(self) -> None:
        for fingerprint in tuple(self._known):
            self._find(fingerprint)

    def _make_room(self) -> None:
        if len(self._known) < self._settings.max_entries:
            return
        self._expire()
        while len(self._known) >= self._settings.max_entries:
            self._known.pop(
                min(
                    self._known,
                    key=lambda name: (
                        self._known[name].count,
                        self._known[name].last_ms,
                    ),
                )
            )
