"""The number of calls that a worker may run at once, as measured.

The announced slots are the ceiling. When answers take much longer than the
routes' baselines, the limit is lowered by a probe and stays lowered only if
the worker finishes as many calls as before: then the calls only stood in
each other's way. Otherwise the slowness lies elsewhere, in a slow neighbour
or upstream, and a lower limit would only waste slots. Overload answers of
the worker itself lower the limit at once. In calm the limit grows back by a
ratio for each window.

Sources: N. Cardwell et al., "BBR: Congestion-Based Congestion Control", ACM
Queue 2016 (throughput and latency as two signals); D. Chiu and R. Jain,
"Analysis of the Increase and Decrease Algorithms", 1989 (decrease by a
ratio).
"""

import dataclasses

WINDOW_MS = 100.0
MIN_SAMPLES = 30
MAX_WINDOW_MS = 1000.0
INFLATED_RATIO = 2.0
DECREASE_RATIO = 0.75
KEPT_THROUGHPUT_RATIO = 0.9
GROWTH_RATIO = 1.25
OVERLOAD_ANSWERS_RATIO = 0.02
HOLD_MS = 1000.0
MAX_HOLD_MS = 8000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Steady:
    """The limit grows while answers are quick."""


@dataclasses.dataclass(frozen=True, slots=True)
class Probing:
    """The limit was lowered to see whether throughput stays the same."""

    throughput_per_s: float
    limit: float


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """A probe cost throughput; the next is made after `until_ms`."""

    until_ms: float


Phase = Steady | Probing | Holding


@dataclasses.dataclass(frozen=True, slots=True)
class _Window:
    throughput_per_s: float
    latency_ratio: float
    overload_ratio: float
    is_saturated: bool


class ConcurrencyLimit:
    """The adaptive limit of one worker."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._phase: Phase = Steady()
        self._hold_ms = HOLD_MS
        self._started_ms = 0.0
        self._samples = 0
        self._ratio_sum = 0.0
        self._overloads = 0
        self._peak = 0

    @property
    def slots(self) -> int:
        """The announced slots."""
        return self._slots

    @property
    def limit(self) -> int:
        """Calls that may hold a slot at once; 0 only without slots."""
        return int(self._limit)

    @property
    def phase(self) -> Phase:
        """What the limit is doing."""
        return self._phase

    def set_slots(self, slots: int) -> None:
        """Takes another ceiling; a limit below the old one stays."""
        is_at_ceiling = self.limit >= self._slots
        self._slots = slots
        self._set_limit(float(slots) if is_at_ceiling else self._limit)
        self._phase = Steady()

    def record_in_progress(self, in_progress: int) -> None:
        """Takes note of how many calls hold a slot after a grant."""
        self._peak = max(self._peak, in_progress)

    def record(
        self, latency_ratio: float, is_overload: bool, now_ms: float
    ) -> None:
        """Takes an answer: its time against the baseline, and its kind."""
        self._samples += 1
        self._ratio_sum += min(latency_ratio, MAX_WINDOW_MS)
        self._overloads += is_overload
        elapsed_ms = now_ms - self._started_ms
        if elapsed_ms < WINDOW_MS:
            return
        if self._samples >= MIN_SAMPLES or elapsed_ms >= MAX_WINDOW_MS:
            self._adjust(self._close_window(elapsed_ms), now_ms)
            self._start_window(now_ms)

    def _start_window(self, now_ms: float) -> None:
        self._started_ms = now_ms
        self._samples = 0
        self._ratio_sum = 0.0
        self._overloads = 0
        self._peak = 0

    def _close_window(self, elapsed_ms: float) -> _Window:
        return _Window(
            self._samples * 1000.0 / elapsed_ms,
            self._ratio_sum / self._samples,
            self._overloads / self._samples,
            self._peak >= self.limit,
        )

    def _adjust(self, window: _Window, now_ms: float) -> None:
        if window.overload_ratio > OVERLOAD_ANSWERS_RATIO:
            self._set_limit(self._limit * DECREASE_RATIO)
            self._phase = Steady()
            return
        match self._phase:
            case Steady():
                self._adjust_steady(window)
            case Probing(throughput_per_s, limit):
                self._judge_probe(window, throughput_per_s, limit, now_ms)
            case Holding(until_ms) if now_ms >= until_ms:
                self._phase = Steady()
            case Holding() if not _is_inflated(window):
                self._hold_ms = HOLD_MS
                self._phase = Steady()

    def _adjust_steady(self, window: _Window) -> None:
        if not _is_inflated(window):
            self._set_limit(self._limit * GROWTH_RATIO + 1.0)
        elif window.is_saturated and self._limit > 1.0:
            self._phase = Probing(window.throughput_per_s, self._limit)
            self._set_limit(self._limit * DECREASE_RATIO)

    def _judge_probe(
        self,
        window: _Window,
        throughput_per_s: float,
        limit: float,
        now_ms: float,
    ) -> None:
        kept_per_s = throughput_per_s * KEPT_THROUGHPUT_RATIO
        if window.throughput_per_s >= kept_per_s or not window.is_saturated:
            self._hold_ms = HOLD_MS
            self._phase = Steady()
            return
        self._set_limit(limit)
        self._phase = Holding(now_ms + self._hold_ms)
        self._hold_ms = min(self._hold_ms * 2, MAX_HOLD_MS)

    def _set_limit(self, limit: float) -> None:
        self._limit = min(float(self._slots), max(1.0, limit))


def _is_inflated(window: _Window) -> bool:
    return window.latency_ratio > INFLATED_RATIO
