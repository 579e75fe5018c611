"""Typical answer times of each route, from this daemon's own answers."""

MIN_SAMPLES = 20
FIRST_STEP_RATIO = 0.2
STEP_RATIO = 0.02
TAIL_RATIO = 0.95
MAX_LATE_RATIO = 2.0


class RouteTimes:
    """Estimates of the median and the 95th percentile.

    Each answer moves an estimate up or down by a fixed ratio, weighted so
    that it rests where the wanted part of the answers is below; no samples
    are kept, and a minority of slow answers can't move the median far.
    """

    def __init__(self, latency_ms: float) -> None:
        self.median_ms = latency_ms
        self.tail_ms = latency_ms
        self.samples = 1

    def record(self, latency_ms: float) -> None:
        """Takes an answer's time."""
        self.samples += 1
        step_ratio = max(STEP_RATIO, FIRST_STEP_RATIO / self.samples**0.5)
        if latency_ms > self.median_ms:
            self.median_ms *= 1.0 + step_ratio
        else:
            self.median_ms /= 1.0 + step_ratio
        if latency_ms > self.tail_ms:
            self.tail_ms *= 1.0 + 2.0 * step_ratio * TAIL_RATIO
        else:
            self.tail_ms /= 1.0 + 2.0 * step_ratio * (1.0 - TAIL_RATIO)

    @property
    def late_ms(self) -> float:
        """The time that few calls take longer than.

        While many answers are slow the 95th percentile says nothing; a bound
        by the median, which a minority can't move far, holds then.
        """
        return min(self.tail_ms, self.median_ms * MAX_LATE_RATIO)

    @property
    def is_known(self) -> bool:
        """Tells whether there were enough answers to rely on."""
        return self.samples >= MIN_SAMPLES
