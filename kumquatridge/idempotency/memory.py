"""What one home remembers of the keys it ran or is running."""

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
    """One key; `finished` holds the outcome once it stands."""

    def __init__(self, scope: str, digest: str) -> None:
        self.scope = scope
        self.digest = digest
        self.finished: asyncio.Future[outcomes.Outcome] = (
            asyncio.get_running_loop().create_future()
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Fresh:
    """The key was never seen; the caller of `claim` must run the call."""

    entry: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """The key was seen; its run may still be in progress."""

    entry: Entry


@dataclasses.dataclass(frozen=True, slots=True)
class Reused:
    """The key was seen with another request."""


@dataclasses.dataclass(frozen=True, slots=True)
class Missing:
    """The key was never seen here, and this daemon must not run it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Full:
    """Too many keys are remembered; `retry_after_ms` frees the oldest."""

    retry_after_ms: int


Claim = Fresh | Known | Reused | Missing | Full


@dataclasses.dataclass(frozen=True, slots=True)
class _Finish:
    entry: Entry
    at_ms: float


class KeyMemory:
    """The keys of one home, bounded by time, count and bytes."""

    def __init__(self, settings: key_settings.KeySettings) -> None:
        self._settings = settings
        self._entries: dict[str, Entry] = {}
        self._finishes: collections.deque[_Finish] = collections.deque()
        self._kept: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._kept_bytes = 0

    def __len__(self) -> int:
        """Returns how many keys are remembered."""
        return len(self._entries)

    @property
    def scopes(self) -> tuple[str, ...]:
        """All keys that are remembered."""
        return tuple(self._entries)

    @property
    def kept_bytes(self) -> int:
        """Bytes of the answers kept for resends."""
        return self._kept_bytes

    def claim(self, scope: str, digest: str, *, may_run: bool) -> Claim:
        """Looks a key up and enters it when it was never seen and may run."""
        self._expire()
        known = self._entries.get(scope)
        if known is not None:
            return Known(known) if known.digest == digest else Reused()
        if not may_run:
            return Missing()
        if len(self._entries) >= self._settings.max_keys:
            return Full(self._get_retry_after_ms())
        entry = Entry(scope, digest)
        self._entries[scope] = entry
        return Fresh(entry)

    def finish(self, entry: Entry, outcome: outcomes.Outcome) -> None:
        """Takes the outcome of a key's run.

        A key whose call was proved not to run is forgotten, so that a resend
        may run it.
        """
        if entry.finished.done():
            return
        match outcome:
            case outcomes.NotRun():
                del self._entries[entry.scope]
                entry.finished.set_result(outcome)
                return
            case outcomes.Completed(body=call_body.BufferedBody(data)) if (
                len(data) <= self._settings.max_answer_bytes
            ):
                entry.finished.set_result(outcome)
                self._keep(entry, len(data))
            case outcomes.Completed():
                entry.finished.set_result(outcomes.Unknown(ANSWER_TOO_LARGE))
            case outcomes.Failed() | outcomes.Unknown():
                entry.finished.set_result(outcome)
        self._finishes.append(_Finish(entry, clock.get_now_ms()))

    def _keep(self, entry: Entry, length_bytes: int) -> None:
        self._kept[entry.scope] = length_bytes
        self._kept_bytes += length_bytes
        while self._kept_bytes > self._settings.max_kept_bytes:
            scope, dropped_bytes = self._kept.popitem(last=False)
            self._kept_bytes -= dropped_bytes
            self._drop_answer(self._entries[scope])

    def _drop_answer(self, entry: Entry) -> None:
        entry.finished = asyncio.get_running_loop().create_future()
        entry.finished.set_result(outcomes.Unknown(ANSWER_DROPPED))

    def _expire(self) -> None:
        oldest_ms = clock.get_now_ms() - self._settings.retention_ms
        while self._finishes and self._finishes[0].at_ms <= oldest_ms:
            entry = self._finishes.popleft().entry
            del self._entries[entry.scope]
            self._kept_bytes -= self._kept.pop(entry.scope, 0)

    def _get_retry_after_ms(self) -> int:
        if not self._finishes:
            return self._settings.retention_ms
        age_ms = clock.get_now_ms() - self._finishes[0].at_ms
        return max(0, int(self._settings.retention_ms - age_ms))
