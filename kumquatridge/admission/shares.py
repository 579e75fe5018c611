"""Sharing of the slots of a worker between classes of calls.

Calls A -> B -> A can deadlock by filling all slots of both services with calls
that wait for each other. To prevent this, calls of each depth (the number of
calls above in the chain) leave some slots reserved for deeper ones, so that the
deepest calls can complete (as trunk reservation does in telephone networks).
Critical calls leave none: nothing less important may be admitted while they
wait, and the time-out of the queue resolves a deadlock among them.

Long-running calls below CRITICAL leave slots to short ones of the same or a
higher importance, as many as the recent peak demand of these and one more.
Demand is the calls that hold a slot or wait for one. Until a peak has been
measured, long-running calls are limited to their minimum share.
"""

import dataclasses
import math
import sys

from kumquatridge.admission import peaks
from kumquatridge.admission import settings as admission_settings
from kumquatridge.calls import importance as call_importance

# A recent peak is the maximum over the current window and the previous one.
PEAK_WINDOW_MS = 1000.0
# A depth is recent for this long after a call of that depth last arrived.
DEPTH_RETENTION_MS = 10_000.0
CRITICAL = call_importance.Importance.CRITICAL


@dataclasses.dataclass(frozen=True, slots=True)
class CallClass:
    """The properties of a call that decide which slots it may use."""

    importance: call_importance.Importance
    depth: int
    is_long_running: bool


class SlotShares:
    """Tracks the slots in use and decides which classes may acquire one."""

    def __init__(self, settings: admission_settings.AdmissionSettings) -> None:
        self._settings = settings
        self._limit = 0
        self._in_progress = 0
        self._long_in_progress = 0
        self._depth_last_seen_ms: dict[int, float] = {}
        # For each recent depth, the number of recent depths that are deeper.
        self._deeper_depth_counts: dict[int, int] = {}
        # The demand of calls that are deeper than the shallowest recent depth.
        self._deeper_calls = 0
        self._deeper_calls_peak = peaks.RecentPeak()
        importances = call_importance.Importance
        # Indexed by importance: demand of short calls of that or a higher one,
        # so that index 0 has all short calls.
        self._short_calls = [0 for _ in importances]
        self._short_call_peaks = [
            peaks.RecentPeak(sys.maxsize) for _ in importances
        ]
        self._window_started_ms = 0.0

    @property
    def in_progress(self) -> int:
        """The number of calls that hold a slot."""
        return self._in_progress

    @property
    def long_in_progress(self) -> int:
        """The number of long-running calls that hold a slot."""
        return self._long_in_progress

    @property
    def short_waiting(self) -> int:
        """The number of short calls that wait for a slot."""
        return self._short_calls[0] - (
            self._in_progress - self._long_in_progress
        )

    @property
    def limit(self) -> int:
        """The number of calls that may hold a slot concurrently."""
        return self._limit

    def set_limit(self, limit: int) -> None:
        """Sets the number of slots to share."""
        self._limit = limit

    def get_reserved_slots(self, depth: int) -> int:
        """Returns the slots reserved for calls deeper than a depth.

        Calls of the shallowest depth leave the full reservation. It shrinks
        linearly with each depth down to 0 for the deepest.
        """
        deeper_depths = self._deeper_depth_counts.get(depth, 0)
        max_slots = int(self._limit * self._settings.reserved_ratio)
        if deeper_depths == 0 or self._settings.reserved_ratio == 0.0:
            return 0
        reserved_slots = max(1, min(max_slots, self._deeper_calls_peak.value))
        return math.ceil(
            reserved_slots
            * deeper_depths
            / (len(self._deeper_depth_counts) - 1)
        )

    def get_long_running_limit(
        self, importance: call_importance.Importance
    ) -> int:
        """Returns how many long-running calls may hold a slot concurrently.

        Within the bounds of the settings, they leave one slot more than the
        recent peak of the short calls of the same or a higher importance.
        """
        limit, settings = self._limit, self._settings
        spare_slots = limit - self._short_call_peaks[importance].value - 1
        min_slots = max(1, int(limit * settings.min_long_running_ratio))
        max_slots = max(1, int(limit * settings.max_long_running_ratio))
        return max(min_slots, min(max_slots, spare_slots))

    def can_acquire(self, call_class: CallClass) -> bool:
        """Returns whether a call of a class may acquire a slot now."""
        if self._in_progress >= self._limit or not self._leaves_reserved_slots(
            call_class
        ):
            return False
        if not call_class.is_long_running or call_class.importance is CRITICAL:
            return True
        return self._long_in_progress < self.get_long_running_limit(
            call_class.importance
        )

    def acquire(self, call_class: CallClass) -> None:
        """Counts a slot as in use, without checking `can_acquire`."""
        self._in_progress += 1
        self._long_in_progress += call_class.is_long_running

    def release(self, call_class: CallClass) -> None:
        """Counts a slot as free again."""
        self._in_progress -= 1
        self._long_in_progress -= call_class.is_long_running

    def add_demand(self, call_class: CallClass, now_ms: float) -> None:
        """Counts a call that waits for a slot or holds one as demand."""
        if call_class.depth not in self._deeper_depth_counts:
            self._depth_last_seen_ms[call_class.depth] = now_ms
            self._count_deeper_depths()
        self._depth_last_seen_ms[call_class.depth] = now_ms
        if now_ms - self._window_started_ms >= PEAK_WINDOW_MS:
            self._start_window(now_ms)
        if self._is_deeper_call(call_class):
            self._deeper_calls += 1
            self._deeper_calls_peak.record(self._deeper_calls)
        if not call_class.is_long_running:
            for index in range(call_class.importance + 1):
                self._short_calls[index] += 1
                self._short_call_peaks[index].record(self._short_calls[index])

    def remove_demand(self, call_class: CallClass) -> None:
        """Removes a call that was counted by `add_demand`."""
        if self._is_deeper_call(call_class):
            # The call need not have been counted: it may have become a deeper
            # one when a depth was added to the recent ones after its arrival.
            self._deeper_calls = max(0, self._deeper_calls - 1)
        if not call_class.is_long_running:
            for index in range(call_class.importance + 1):
                self._short_calls[index] -= 1

    def _is_deeper_call(self, call_class: CallClass) -> bool:
        """Returns whether a call is deeper than the shallowest recent depth."""
        depths = self._deeper_depth_counts
        return (
            self._deeper_depth_counts.get(call_class.depth, 0) < len(depths) - 1
        )

    def _leaves_reserved_slots(self, call_class: CallClass) -> bool:
        if call_class.importance is CRITICAL:
            return True
        return self._in_progress < max(
            1, self._limit - self.get_reserved_slots(call_class.depth)
        )

    def _start_window(self, now_ms: float) -> None:
        self._window_started_ms = now_ms
        self._deeper_calls_peak.start_window(self._deeper_calls)
        for count, peak in zip(
            self._short_calls, self._short_call_peaks, strict=True
        ):
            peak.start_window(count)
        oldest_ms = now_ms - DEPTH_RETENTION_MS
        recent = {
            depth: seen_ms
            for depth, seen_ms in self._depth_last_seen_ms.items()
            if seen_ms >= oldest_ms
        }
        if len(recent) < len(self._depth_last_seen_ms):
            self._depth_last_seen_ms = recent
            self._count_deeper_depths()

    def _count_deeper_depths(self) -> None:
        deepest_first = sorted(self._depth_last_seen_ms, reverse=True)
        self._deeper_depth_counts = {
            depth: deeper_depths
            for deeper_depths, depth in enumerate(deepest_first)
        }
