"""An adaptive concurrency limit for one worker.

The announced slots are the upper bound. When answers take much longer than the
baselines of their routes, a probe lowers the limit. If throughput is
maintained, the calls were contending for resources of the worker, and the lower
limit is kept. If throughput drops, the latency has another cause, such as a
noisy neighbour or an upstream; a lower limit would only waste slots, so the
limit is raised above the value that it had before the probe. Overload answers,
by which the worker itself refuses a call, lower the limit without a probe.
While the latency is normal the limit grows by a fixed ratio in each window of
`WINDOW_MS`.

Sources: N. Cardwell et al., "BBR: Congestion-Based Congestion Control", ACM
Queue 2016 (throughput and latency as two signals); D. Chiu and R. Jain,
"Analysis of the Increase and Decrease Algorithms", 1989 (decrease by a
ratio).
"""

import dataclasses

# Shortest time between two adjustments of the limit, and shortest measurement
# of throughput.
WINDOW_MS = 100.0
# A measurement of throughput ends after this many answers, or after this time.
MIN_MEASUREMENT_SAMPLES = 400
MAX_MEASUREMENT_MS = 2000.0
# A probe starts to measure throughput this many mean latencies after the limit
# was lowered.
SETTLING_TIME_RATIO = 2.0
# The limit grows up to the first latency ratio (see `AnswerSample`), and is
# probed above the second. Between them it is kept.
MAX_GROWTH_LATENCY_RATIO = 1.5
MIN_PROBE_LATENCY_RATIO = 2.0
# Factor on the limit after an overload answer and during a probe. A probe that
# lost throughput divides the previous limit by it.
DECREASE_RATIO = 0.7
# A probe keeps the lower limit if this share of the throughput remains.
MIN_THROUGHPUT_RATIO = 0.87
# Weight of the newest answer in the mean latency.
LATENCY_WEIGHT_RATIO = 0.05
# Factor on the limit when it grows; 1 is added to the product.
GROWTH_RATIO = 1.25
# For this time after a probe that lost throughput, only overload answers change
# the limit. The time doubles with each such probe, up to `MAX_HOLD_MS`, and is
# reset when the latency is normal again.
INITIAL_HOLD_MS = 8000.0
MAX_HOLD_MS = 32_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Steady:
    """No probe is in progress; the limit grows while latency is normal."""


@dataclasses.dataclass(frozen=True, slots=True)
class Measuring:
    """Latency is high; throughput is measured from `since_ms` on."""

    since_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Probing:
    """The limit was lowered to measure how much throughput is lost.

    Throughput is measured from `since_ms` on, which leaves time for the calls
    that were admitted under the previous limit to end.
    `previous_throughput_per_s` and `previous_limit` are the values before the
    limit was lowered.
    """

    since_ms: float
    previous_throughput_per_s: float
    previous_limit: float


@dataclasses.dataclass(frozen=True, slots=True)
class Holding:
    """A probe lost throughput; the next is allowed from `until_ms` on."""

    until_ms: float


Phase = Steady | Measuring | Probing | Holding


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerSample:
    """One answer of the worker as input of the limit.

    `latency_ratio` is the recent mean latency of the route divided by its
    baseline (see `service_times`), 1 while that is unknown. `is_saturated` is
    set if all slots within the limit were in use, `is_overload` if the worker
    itself refused the call.
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
        self._hold_ms = INITIAL_HOLD_MS
        # Answers since the current measurement of throughput began.
        self._sample_count = 0
        self._mean_latency_ms = 0.0
        # When the limit was last adjusted or a probe ended.
        self._adjusted_ms = 0.0

    @property
    def slots(self) -> int:
        """The slots announced by the worker, the upper bound of the limit."""
        return self._slots

    @property
    def limit(self) -> int:
        """The maximum concurrency; 0 only for a worker without slots."""
        return int(self._limit)

    @property
    def phase(self) -> Phase:
        """The phase of the probing cycle."""
        return self._phase

    def set_slots(self, slots: int) -> None:
        """Sets the upper bound; a limit below the old bound is kept."""
        is_at_upper_bound = self.limit >= self._slots
        self._slots = slots
        self._set_limit(float(slots) if is_at_upper_bound else self._limit)
        self._phase = Steady()

    def record(self, sample: AnswerSample, now_ms: float) -> None:
        """Records an answer and adjusts the limit if an adjustment is due."""
        is_due = now_ms - self._adjusted_ms >= WINDOW_MS
        if sample.is_overload:
            if is_due:
                self._decrease(now_ms)
            return
        self._sample_count += 1
        change_ms = sample.latency_ms - self._mean_latency_ms
        self._mean_latency_ms += change_ms * LATENCY_WEIGHT_RATIO
        match self._phase:
            case Steady():
                if is_due:
                    self._adjust(sample, now_ms)
            case Measuring(since_ms):
                self._measure(sample, since_ms, now_ms)
            case Probing() as probing:
                self._probe(sample, probing, now_ms)
            case Holding(until_ms) if now_ms >= until_ms:
                self._phase = Steady()
            case Holding():
                pass

    def _decrease(self, now_ms: float) -> None:
        self._set_limit(self._limit * DECREASE_RATIO)
        self._phase = Steady()
        self._adjusted_ms = now_ms

    def _adjust(self, sample: AnswerSample, now_ms: float) -> None:
        self._adjusted_ms = now_ms
        if sample.latency_ratio <= MAX_GROWTH_LATENCY_RATIO:
            self._hold_ms = INITIAL_HOLD_MS
            self._set_limit(self._limit * GROWTH_RATIO + 1.0)
        elif (
            sample.latency_ratio > MIN_PROBE_LATENCY_RATIO
            and sample.is_saturated
            and self._limit > 1.0
        ):
            self._sample_count = 0
            self._phase = Measuring(now_ms)

    def _measure(
        self, sample: AnswerSample, since_ms: float, now_ms: float
    ) -> None:
        if (
            sample.latency_ratio <= MIN_PROBE_LATENCY_RATIO
            or not sample.is_saturated
        ):
            self._phase = Steady()
        elif self._is_measurement_over(since_ms, now_ms):
            throughput_per_s = self._get_throughput_per_s(since_ms, now_ms)
            settling_ms = self._mean_latency_ms * SETTLING_TIME_RATIO
            self._phase = Probing(
                now_ms + settling_ms, throughput_per_s, self._limit
            )
            self._set_limit(self._limit * DECREASE_RATIO)

    def _probe(
        self, sample: AnswerSample, probing: Probing, now_ms: float
    ) -> None:
        if not sample.is_saturated:
            self._set_limit(probing.previous_limit)
            self._phase = Steady()
            return
        if now_ms < probing.since_ms:
            self._sample_count = 0
            return
        if not self._is_measurement_over(probing.since_ms, now_ms):
            return
        throughput_per_s = self._get_throughput_per_s(probing.since_ms, now_ms)
        min_throughput_per_s = (
            probing.previous_throughput_per_s * MIN_THROUGHPUT_RATIO
        )
        self._adjusted_ms = now_ms
        if throughput_per_s >= min_throughput_per_s:
            self._phase = Steady()
            return
        self._set_limit(probing.previous_limit / DECREASE_RATIO)
        self._phase = Holding(now_ms + self._hold_ms)
        self._hold_ms = min(self._hold_ms * 2, MAX_HOLD_MS)

    def _is_measurement_over(self, since_ms: float, now_ms: float) -> bool:
        elapsed_ms = now_ms - since_ms
        if elapsed_ms >= MAX_MEASUREMENT_MS:
            return True
        return (
            self._sample_count >= MIN_MEASUREMENT_SAMPLES
            and elapsed_ms >= WINDOW_MS
        )

    def _get_throughput_per_s(self, since_ms: float, now_ms: float) -> float:
        return self._sample_count * 1000.0 / (now_ms - since_ms)

    def _set_limit(self, limit: float) -> None:
        self._limit = min(float(self._slots), max(1.0, limit))
