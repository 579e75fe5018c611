"""Latency estimates for each route, from the answers to this daemon's calls."""

# With fewer samples, the estimates are not used.
MIN_SAMPLES = 20
# The step of the median with each sample: the first ratio divided by the square
# root of the number of samples, at least the second.
INITIAL_STEP_RATIO = 0.2
MIN_STEP_RATIO = 0.02
P95_RATIO = 0.95
# Bound of the slow threshold, as a multiple of the median.
MAX_SLOW_THRESHOLD_TO_MEDIAN_RATIO = 2.0


class LatencyEstimates:
    """Streaming estimates of the median and the 95th percentile.

    Each sample moves an estimate up or down by a ratio that shrinks with the
    number of samples, down to `MIN_STEP_RATIO`. The steps are weighted so that
    the estimate converges to the requested quantile. No samples are stored, and
    a minority of slow answers cannot move the median far. Both estimates start
    at `latency_ms`, the first sample.
    """

    def __init__(self, latency_ms: float) -> None:
        self.median_ms = latency_ms
        self.p95_ms = latency_ms
        self.sample_count = 1

    def record(self, latency_ms: float) -> None:
        """Updates both estimates with the latency of an answer."""
        self.sample_count += 1
        step_ratio = max(
            MIN_STEP_RATIO, INITIAL_STEP_RATIO / self.sample_count**0.5
        )
        if latency_ms > self.median_ms:
            self.median_ms *= 1.0 + step_ratio
        else:
            self.median_ms /= 1.0 + step_ratio
        # With the factor 2 the weights of a step up and a step down add up to
        # 2, like those of the median, 1 and 1.
        if latency_ms > self.p95_ms:
            self.p95_ms *= 1.0 + 2.0 * step_ratio * P95_RATIO
        else:
            self.p95_ms /= 1.0 + 2.0 * step_ratio * (1.0 - P95_RATIO)

    @property
    def slow_threshold_ms(self) -> float:
        """The latency above which a call counts as slow.

        While many answers are slow, the 95th percentile is itself the latency
        of a slow answer. The threshold is then limited by a multiple of the
        median, which a minority of slow answers cannot move far.
        """
        return min(
            self.p95_ms, self.median_ms * MAX_SLOW_THRESHOLD_TO_MEDIAN_RATIO
        )

    @property
    def has_enough_samples(self) -> bool:
        """Whether there are enough samples to rely on the estimates."""
        return self.sample_count >= MIN_SAMPLES
