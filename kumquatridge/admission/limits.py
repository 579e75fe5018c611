"""The number of calls that a worker may run at once, as measured.

The announced slots are the ceiling. When answers take much longer than the
routes' baselines, the limit is lowered by a probe and stays lowered only if
the worker finishes as many calls as before: then the calls only stood in
each other's way. Otherwise the slowness lies elsewhere, in a slow neighbour
or upstream; a lower limit would only waste slots, so it goes up instead.
Overload answers of the worker itself lower the limit at once. Without
overload the limit grows back by a ratio for each window.

Sources: N. Cardwell et al., "BBR: Congestion-Based Congestion Control", ACM
Queue 2016 (throughput and latency as two signals); D. Chiu and R. Jain,
"Analysis of the Increase and Decrease Algorithms", 1989 (decrease by a
ratio).
"""

import dataclasses

WINDOW_MS = 100.0
PHASE_SAMPLES = 400
PHASE_MS = 2000.0
SETTLING_RATIO = 2.0
CALM_RATIO = 1.5
INFLATED_RATIO = 2.0
DECREASE_RATIO = 0.7
KEPT_THROUGHPUT_RATIO = 0.87
LATENCY_WEIGHT_RATIO = 0.05
GROWTH_RATIO = 1.25
HOLD_MS = 8000.0
MAX_HOLD_MS = 32_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Steady:
    """The limit grows while answers are quick."""


@dataclasses.dataclass(frozen=True, slots=True)
class Measuring:
    """Answers are slow; throughput is measured from `since_ms` on."""

    since_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Probing:
    """The limit was lowered from `limit` to see what that costs."""

    since_ms: float
    throughput_per_s: float
    limit: float


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """A probe cost throughput; the next is made after `until_ms`."""

    until_ms: float


Phase = Steady | Measuring | Probing | Holding


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer of the worker, as the limit sees it.

    `latency_ratio` is the recent time against the route's baseline;
    `is_saturated` tells whether all slots within the limit were in use, and
    `is_overload` that the worker refused the call itself.
    """

    latency_ms: float
    latency_ratio: float
    is_saturated: bool
    is_overload: bool = False


class ConcurrencyLimit:
    """The adaptive limit of one worker."""

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._phase: Phase = Steady()
        self._hold_ms = HOLD_MS
        self._counted = 0
        self._latency_ms = 0.0
        self._changed_ms = 0.0

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

    def record(self, answer: Answer, now_ms: float) -> None:
        """Takes an answer and moves the limit when it is time to."""
        is_due = now_ms - self._changed_ms >= WINDOW_MS
        if answer.is_overload:
            if is_due:
                self._decrease(now_ms)
            return
        self._counted += 1
        change_ms = answer.latency_ms - self._latency_ms
        self._latency_ms += change_ms * LATENCY_WEIGHT_RATIO
        match self._phase:
            case Steady():
                if is_due:
                    self._adjust(answer, now_ms)
            case Measuring(since_ms):
                self._measure(answer, since_ms, now_ms)
            case Probing() as probing:
                self._probe(answer, probing, now_ms)
            case Holding(until_ms) if now_ms >= until_ms:
                self._phase = Steady()
            case Holding():
                pass

    def _decrease(self, now_ms: float) -> None:
        self._set_limit(self._limit * DECREASE_RATIO)
        self._phase = Steady()
        self._changed_ms = now_ms

    def _adjust(self, answer: Answer, now_ms: float) -> None:
        self._changed_ms = now_ms
        if answer.latency_ratio <= CALM_RATIO:
            self._hold_ms = HOLD_MS
            self._set_limit(self._limit * GROWTH_RATIO + 1.0)
        elif (
            answer.latency_ratio > INFLATED_RATIO
            and answer.is_saturated
            and self._limit > 1.0
        ):
            self._counted = 0
            self._phase = Measuring(now_ms)

    def _measure(self, answer: Answer, since_ms: float, now_ms: float) -> None:
        if answer.latency_ratio <= INFLATED_RATIO or not answer.is_saturated:
            self._phase = Steady()
        elif self._is_phase_over(since_ms, now_ms):
            throughput_per_s = self._get_throughput_per_s(since_ms, now_ms)
            settling_ms = self._latency_ms * SETTLING_RATIO
            self._phase = Probing(
                now_ms + settling_ms, throughput_per_s, self._limit
            )
            self._set_limit(self._limit * DECREASE_RATIO)

    def _probe(self, answer: Answer, probing: Probing, now_ms: float) -> None:
        if not answer.is_saturated:
            self._set_limit(probing.limit)
            self._phase = Steady()
            return
        if now_ms < probing.since_ms:
            self._counted = 0
            return
        if not self._is_phase_over(probing.since_ms, now_ms):
            return
        throughput_per_s = self._get_throughput_per_s(probing.since_ms, now_ms)
        kept_per_s = probing.throughput_per_s * KEPT_THROUGHPUT_RATIO
        self._changed_ms = now_ms
        if throughput_per_s >= kept_per_s:
            self._phase = Steady()
            return
        self._set_limit(probing.limit / DECREASE_RATIO)
        self._phase = Holding(now_ms + self._hold_ms)
        self._hold_ms = min(self._hold_ms * 2, MAX_HOLD_MS)

    def _is_phase_over(self, since_ms: float, now_ms: float) -> bool:
        elapsed_ms = now_ms - since_ms
        if elapsed_ms >= PHASE_MS:
            return True
        return self._counted >= PHASE_SAMPLES and elapsed_ms >= WINDOW_MS

    def _get_throughput_per_s(self, since_ms: float, now_ms: float) -> float:
        return self._counted * 1000.0 / (now_ms - since_ms)

    def _set_limit(self, limit: float) -> None:
        self._limit = min(float(self._slots), max(1.0, limit))
