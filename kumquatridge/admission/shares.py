"""How the slots of a worker are shared between kinds of calls.

Calls A -> B -> A can fill all slots of both services with calls that wait
for each other. Calls of each depth therefore leave some slots to deeper
ones, so that the deepest calls find one and the chain moves on (prevention;
it works as trunk reservation does in telephone networks). Critical calls
leave none: nothing less important may be admitted while they wait, and the
bound of the queue ends a standstill among them.

Long calls below CRITICAL leave slots to short ones of the same or a higher
importance, as many as these needed at their recent peak; until that was seen,
long calls have only their least share.
"""

import dataclasses
import math
import sys

from kumquatridge.admission import peaks
from kumquatridge.admission import settings as admission_settings
from kumquatridge.calls import importance as call_importance

PEAK_WINDOW_MS = 1000.0
DEPTH_MEMORY_MS = 10_000.0
CRITICAL = call_importance.Importance.CRITICAL


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """What decides which slots a call may use."""

    importance: call_importance.Importance
    depth: int
    is_long: bool


class SlotShares:
    """The slots in use and which kinds of calls may take another."""

    def __init__(self, settings: admission_settings.AdmissionSettings) -> None:
        self._settings = settings
        self._limit = 0
        self._in_progress = 0
        self._long_in_progress = 0
        self._depths_seen_ms: dict[int, float] = {}
        self._deeper_depths: dict[int, int] = {}
        self._deep = 0
        self._deep_peak = peaks.RecentPeak()
        importances = call_importance.Importance
        self._short = [0 for _ in importances]
        self._short_peaks = [peaks.RecentPeak(sys.maxsize) for _ in importances]
        self._window_started_ms = 0.0

    @property
    def in_progress(self) -> int:
        """Calls that hold a slot."""
        return self._in_progress

    @property
    def long_in_progress(self) -> int:
        """Long calls that hold a slot."""
        return self._long_in_progress

    @property
    def short_waiting(self) -> int:
        """Short calls that want a slot and hold none."""
        return self._short[0] - (self._in_progress - self._long_in_progress)

    @property
    def limit(self) -> int:
        """Calls that may hold a slot at once."""
        return self._limit

    def set_limit(self, limit: int) -> None:
        """Takes the number of slots there are to share."""
        self._limit = limit

    def get_kept(self, depth: int) -> int:
        """Returns the slots that calls of a depth leave to deeper ones."""
        deeper = self._deeper_depths.get(depth, 0)
        most = int(self._limit * self._settings.kept_ratio)
        if deeper == 0 or self._settings.kept_ratio == 0.0:
            return 0
        kept = max(1, min(most, self._deep_peak.value))
        return math.ceil(kept * deeper / (len(self._deeper_depths) - 1))

    def get_long_limit(self, importance: call_importance.Importance) -> int:
        """Returns how many long calls may hold a slot at once."""
        limit, settings = self._limit, self._settings
        free = limit - self._short_peaks[importance].value - 1
        least = max(1, int(limit * settings.long_min_ratio))
        most = max(1, int(limit * settings.long_max_ratio))
        return max(least, min(most, free))

    def can_take(self, kind: Kind) -> bool:
        """Tells whether a call of a kind may take a slot now."""
        if self._in_progress >= self._limit or not self._leaves_kept(kind):
            return False
        if not kind.is_long or kind.importance is CRITICAL:
            return True
        return self._long_in_progress < self.get_long_limit(kind.importance)

    def take(self, kind: Kind) -> None:
        """Takes a slot."""
        self._in_progress += 1
        self._long_in_progress += kind.is_long

    def release(self, kind: Kind) -> None:
        """Gives a slot back."""
        self._in_progress -= 1
        self._long_in_progress -= kind.is_long

    def enter(self, kind: Kind, now_ms: float) -> None:
        """Takes note of a call that wants a slot."""
        if kind.depth not in self._deeper_depths:
            self._depths_seen_ms[kind.depth] = now_ms
            self._order_depths()
        self._depths_seen_ms[kind.depth] = now_ms
        if now_ms - self._window_started_ms >= PEAK_WINDOW_MS:
            self._roll(now_ms)
        if self._is_deep(kind):
            self._deep += 1
            self._deep_peak.record(self._deep)
        if not kind.is_long:
            for index in range(kind.importance + 1):
                self._short[index] += 1
                self._short_peaks[index].record(self._short[index])

    def leave(self, kind: Kind) -> None:
        """Takes note that a call wants no slot any more."""
        if self._is_deep(kind):
            self._deep = max(0, self._deep - 1)
        if not kind.is_long:
            for index in range(kind.importance + 1):
                self._short[index] -= 1

    def _is_deep(self, kind: Kind) -> bool:
        depths = self._deeper_depths
        return self._deeper_depths.get(kind.depth, 0) < len(depths) - 1

    def _leaves_kept(self, kind: Kind) -> bool:
        if kind.importance is CRITICAL:
            return True
        return self._in_progress < max(
            1, self._limit - self.get_kept(kind.depth)
        )

    def _roll(self, now_ms: float) -> None:
        self._window_started_ms = now_ms
        self._deep_peak.roll(self._deep)
        for count, peak in zip(self._short, self._short_peaks, strict=True):
            peak.roll(count)
        oldest_ms = now_ms - DEPTH_MEMORY_MS
        recent = {
            depth: seen_ms
            for depth, seen_ms in self._depths_seen_ms.items()
            if seen_ms >= oldest_ms
        }
        if len(recent) < len(self._depths_seen_ms):
            self._depths_seen_ms = recent
            self._order_depths()

    def _order_depths(self) -> None:
        deepest_first = sorted(self._depths_seen_ms, reverse=True)
        self._deeper_depths = {
            depth: deeper for deeper, depth in enumerate(deepest_first)
        }
