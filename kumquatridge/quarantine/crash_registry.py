"""Records worker crashes by the fingerprints of the calls in progress.

The first crash makes every call that was in progress a suspect. Suspects are
isolated from each other (see `isolation`), so that further crashes identify a
single call. An answer to a suspect clears all crashes of its fingerprint that
are known so far. Daemons exchange their entries and merge them by set union, so
that the order in which they receive them does not matter.
"""

from collections.abc import Callable, Iterable
import dataclasses
import secrets

from kumquatridge import clock
from kumquatridge.calls import call as calls
from kumquatridge.calls import refusals
from kumquatridge.quarantine import fingerprint as fingerprints

BOOT_ID_BYTES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineSettings:
    """When a fingerprint is refused and for how long.

    Calls of a fingerprint with `refusal_crash_count` uncleared crashes are
    refused for `refusal_ms` after the last crash, and then run in isolation.
    With `quarantine_crash_count` or more they are refused until the entry
    expires, `expiry_ms` after the last crash. With fewer than
    `refusal_crash_count` they run in isolation at once. The answer to a call
    lost in a crash is delayed by `answer_delay_ms`, so that peers know of the
    crash before the caller can retry. Calls lost within `crash_window_ms` after
    the first lost call belong to the same crash. When there are `max_entries`,
    a new entry evicts another.
    """

    refusal_crash_count: int = 2
    quarantine_crash_count: int = 3
    refusal_ms: float = 900.0
    expiry_ms: float = 600_000.0
    answer_delay_ms: float = 250.0
    crash_window_ms: float = 200.0
    max_entries: int = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class CrashEntry:
    """The crash history of a fingerprint, as exchanged between daemons.

    `crashes` has the ids of all crashes at which a call with the fingerprint
    was in progress, and `cleared` the ids of those after which such a call was
    answered. An id is unique among all daemons. `age_ms` is the time from the
    last crash to the export of the entry.
    """

    fingerprint: str
    crashes: tuple[str, ...]
    cleared: tuple[str, ...]
    age_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Allow:
    """The call may run without restrictions."""


@dataclasses.dataclass(frozen=True, slots=True)
class Suspect:
    """The call was in progress at crashes and must run in isolation.

    `crash_count` is the number of crashes that no answer has cleared.
    """

    fingerprint: str
    crash_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """The call must not run before `refusal.retry_after_ms` has passed."""

    refusal: refusals.Quarantined


QuarantineDecision = Allow | Suspect | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class _CrashRecord:
    """An entry as stored, with the time of the last crash on the local clock.

    `crashes` and `cleared` are as in `CrashEntry`.
    """

    crashes: frozenset[str]
    cleared: frozenset[str]
    last_crash_ms: float

    @property
    def uncleared_count(self) -> int:
        return len(self.crashes - self.cleared)


class CrashRegistry:
    """The crashes known to one daemon, of its worker and of the peers' workers.

    `instance` is the name of the daemon. `on_change` is called after each call
    lost in a crash and after each answer that clears crashes at this daemon,
    but not after a merge.
    """

    def __init__(
        self,
        settings: QuarantineSettings,
        instance: str,
        on_change: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._instance = instance
        self._on_change = on_change
        self._records: dict[str, _CrashRecord] = {}
        # Distinguishes the crashes of successive daemon processes.
        self._boot_id = secrets.token_hex(BOOT_ID_BYTES)
        self._crash_number = 0
        # Incremented when the ids of an entry change; see `crash_source`.
        self.revision = 0
        # When the first call was lost in the last crash of this daemon's
        # worker.
        self._crash_started_ms = float("-inf")

    @property
    def answer_delay_ms(self) -> float:
        """The delay of the answer to a call lost in a crash."""
        return self._settings.answer_delay_ms

    def evaluate(self, call: calls.Call) -> QuarantineDecision:
        """Returns whether a call may run freely, in isolation or not at all."""
        if not self._records:
            return Allow()
        fingerprint = fingerprints.make_fingerprint(call)
        record = self._find_unexpired(fingerprint)
        if record is None or record.uncleared_count == 0:
            return Allow()
        remaining_ms = self._get_refusal_remaining_ms(record)
        if remaining_ms > 0:
            return Refuse(refusals.Quarantined(fingerprint, int(remaining_ms)))
        return Suspect(fingerprint, record.uncleared_count)

    def record_crash(self, call: calls.Call) -> None:
        """Records a call that was in progress when the worker crashed."""
        now_ms = clock.get_now_ms()
        if now_ms - self._crash_started_ms > self._settings.crash_window_ms:
            self._crash_number += 1
            self._crash_started_ms = now_ms
        crash_id = f"{self._instance}/{self._boot_id}/{self._crash_number}"
        self._merge_record(
            fingerprints.make_fingerprint(call),
            _CrashRecord(frozenset((crash_id,)), frozenset(), now_ms),
        )
        self._on_change()

    def record_answer(self, fingerprint: str) -> None:
        """Clears all known crashes of a fingerprint whose call was answered."""
        record = self._records.get(fingerprint)
        if record is None or record.uncleared_count == 0:
            return
        self._merge_record(
            fingerprint,
            _CrashRecord(record.crashes, record.crashes, record.last_crash_ms),
        )
        self._on_change()

    def export(self) -> tuple[CrashEntry, ...]:
        """Returns all unexpired entries for the peers."""
        now_ms = clock.get_now_ms()
        self._discard_expired()
        return tuple(
            CrashEntry(
                fingerprint,
                tuple(sorted(record.crashes)),
                tuple(sorted(record.cleared)),
                now_ms - record.last_crash_ms,
            )
            for fingerprint, record in self._records.items()
        )

    def merge(self, entries: Iterable[CrashEntry]) -> bool:
        """Merges the entries of a peer; returns whether that added any ids."""
        now_ms = clock.get_now_ms()
        changed = False
        for entry in entries:
            if entry.age_ms >= self._settings.expiry_ms:
                continue
            changed |= self._merge_record(
                entry.fingerprint,
                _CrashRecord(
                    frozenset(entry.crashes),
                    frozenset(entry.cleared),
                    now_ms - entry.age_ms,
                ),
            )
        return changed

    def _merge_record(self, fingerprint: str, update: _CrashRecord) -> bool:
        """Adds the ids of `update`; returns whether any of them were new."""
        record = self._records.get(fingerprint)
        if record is None:
            self._evict()
            self._records[fingerprint] = update
            self.revision += 1
            return True
        merged = _CrashRecord(
            record.crashes | update.crashes,
            record.cleared | update.cleared,
            max(record.last_crash_ms, update.last_crash_ms),
        )
        self._records[fingerprint] = merged
        changed = (merged.crashes, merged.cleared) != (
            record.crashes,
            record.cleared,
        )
        self.revision += changed
        return changed

    def _get_refusal_remaining_ms(self, record: _CrashRecord) -> float:
        """Returns for how long calls are still refused.

        The value is 0 or less if they are not refused.
        """
        settings = self._settings
        age_ms = clock.get_now_ms() - record.last_crash_ms
        if record.uncleared_count >= settings.quarantine_crash_count:
            return settings.expiry_ms - age_ms
        if record.uncleared_count >= settings.refusal_crash_count:
            return settings.refusal_ms - age_ms
        return 0.0

    def _find_unexpired(self, fingerprint: str) -> _CrashRecord | None:
        record = self._records.get(fingerprint)
        if record is None:
            return None
        age_ms = clock.get_now_ms() - record.last_crash_ms
        if age_ms < self._settings.expiry_ms:
            return record
        del self._records[fingerprint]
        return None

    def _discard_expired(self) -> None:
        for fingerprint in tuple(self._records):
            self._find_unexpired(fingerprint)

    def _evict(self) -> None:
        """Evicts entries while there is no room for another.

        An entry with few uncleared crashes restricts its calls least and is
        evicted first; of those with equally many, the oldest goes first.
        """
        if len(self._records) < self._settings.max_entries:
            return
        self._discard_expired()
        while len(self._records) >= self._settings.max_entries:
            self._records.pop(
                min(
                    self._records,
                    key=lambda fingerprint: (
                        self._records[fingerprint].uncleared_count,
                        self._records[fingerprint].last_crash_ms,
                    ),
                )
            )
