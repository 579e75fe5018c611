"""The idempotency keys whose calls a home has run or is running.

The home of a key is the only daemon process that may run a call with the key. A
key is claimed when a call with it is started. Keys are stored by their digest
(`keys.make_key_digest`), requests are compared by theirs
(`keys.make_request_digest`).
"""

import asyncio
import collections
import dataclasses

from kumquatridge import clock
from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.idempotency import settings as key_settings

ANSWER_DROPPED = "the call ran before; its answer is no longer kept"
ANSWER_TOO_LARGE = "the call ran before; its answer was too large to keep"


class Entry:
    """The state of one key.

    `key_digest` is the digest under which the key is stored, `request_digest`
    that of the request that claimed the key. `final_outcome` resolves when the
    call has ended.
    """

    def __init__(self, key_digest: str, request_digest: str) -> None:
        self.key_digest = key_digest
        self.request_digest = request_digest
        self.final_outcome: asyncio.Future[outcomes.Outcome] = (
            asyncio.get_running_loop().create_future()
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Fresh:
    """The key is new and was claimed; the call must be run now."""

    entry: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """The key was claimed before; its call may still be running."""

    entry: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Reused:
    """The key was claimed before by a different request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """The key was not claimed here, and this daemon must not run the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Full:
    """The table is full; no key expires before `retry_after_ms` from now."""

    retry_after_ms: int


Claim = Fresh | Known | Reused | Missing | Full


@dataclasses.dataclass(frozen=True, slots=True)
class _FinishedEntry:
    """A key whose call ended at `finished_ms`."""

    entry: Entry
    finished_ms: float


class KeyTable:
    """The keys of one home, bounded by time, count and bytes."""

    def __init__(self, settings: key_settings.KeySettings) -> None:
        self._settings = settings
        self._entries: dict[str, Entry] = {}
        # In the order in which the calls ended.
        self._finished_entries: collections.deque[_FinishedEntry] = (
            collections.deque()
        )
        # Sizes of the stored answers by key digest, the oldest answer first.
        self._answer_sizes_bytes: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._stored_bytes = 0

    def __len__(self) -> int:
        """Returns the number of keys whose calls are running or finished."""
        return len(self._entries)

    @property
    def key_digests(self) -> tuple[str, ...]:
        """The digests of all keys, including expired ones not yet removed."""
        return tuple(self._entries)

    @property
    def stored_bytes(self) -> int:
        """Total size of the answers that are stored for resends."""
        return self._stored_bytes

    def claim(
        self, key_digest: str, request_digest: str, *, may_run: bool
    ) -> Claim:
        """Looks up a key, and claims it if it is new and `may_run` is set."""
        self._expire()
        known_entry = self._entries.get(key_digest)
        if known_entry is not None:
            return (
                Known(known_entry)
                if known_entry.request_digest == request_digest
                else Reused()
            )
        if not may_run:
            return Missing()
        if len(self._entries) >= self._settings.max_keys:
            return Full(self._get_retry_after_ms())
        entry = Entry(key_digest, request_digest)
        self._entries[key_digest] = entry
        return Fresh(entry)

    def finish(self, entry: Entry, outcome: outcomes.Outcome) -> None:
        """Records the outcome of the call that claimed a key.

        A key whose call is known not to have run is removed, so that a resend
        may run it.
        """
        if entry.final_outcome.done():
            return
        match outcome:
            case outcomes.NotRun():
                del self._entries[entry.key_digest]
                entry.final_outcome.set_result(outcome)
                return
            case outcomes.Completed(body=call_body.BufferedBody(data)) if (
                len(data) <= self._settings.max_answer_bytes
            ):
                entry.final_outcome.set_result(outcome)
                self._store_answer(entry, len(data))
            case outcomes.Completed():
                entry.final_outcome.set_result(
                    outcomes.Unknown(ANSWER_TOO_LARGE)
                )
            case outcomes.Failed() | outcomes.Unknown():
                entry.final_outcome.set_result(outcome)
        self._finished_entries.append(_FinishedEntry(entry, clock.get_now_ms()))

    def _store_answer(self, entry: Entry, length_bytes: int) -> None:
        """Counts a stored answer; drops the oldest above the size limit."""
        self._answer_sizes_bytes[entry.key_digest] = length_bytes
        self._stored_bytes += length_bytes
        while self._stored_bytes > self._settings.max_stored_bytes:
            key_digest, dropped_bytes = self._answer_sizes_bytes.popitem(
                last=False
            )
            self._stored_bytes -= dropped_bytes
            self._drop_answer(self._entries[key_digest])

    def _drop_answer(self, entry: Entry) -> None:
        """Replaces a stored answer by an unknown outcome.

        This needs a new future, since the result of a future can't be changed.
        """
        entry.final_outcome = asyncio.get_running_loop().create_future()
        entry.final_outcome.set_result(outcomes.Unknown(ANSWER_DROPPED))

    def _expire(self) -> None:
        """Removes the keys whose retention time after the call has passed."""
        oldest_ms = clock.get_now_ms() - self._settings.retention_ms
        while (
            self._finished_entries
            and self._finished_entries[0].finished_ms <= oldest_ms
        ):
            entry = self._finished_entries.popleft().entry
            del self._entries[entry.key_digest]
            self._stored_bytes -= self._answer_sizes_bytes.pop(
                entry.key_digest, 0
            )

    def _get_retry_after_ms(self) -> int:
        """Returns the time until the next key expires.

        While all calls are still running, that time is not known; the retention
        time is returned, which is the least that it can be.
        """
        if not self._finished_entries:
            return self._settings.retention_ms
        age_ms = clock.get_now_ms() - self._finished_entries[0].finished_ms
        return max(0, int(self._settings.retention_ms - age_ms))
