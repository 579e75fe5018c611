"""How long the worker takes for the calls of each route."""

from kumquatridge.settings import policy as settings_policy

MEAN_WEIGHT_RATIO = 0.05
BASELINE_FALL_RATIO = 0.02
BASELINE_RISE_MS = 30_000.0
MEDIAN_STEP_RATIO = 0.05
MIN_SAMPLES = 20
BASELINE_SAMPLES = 100
LONG_FACTOR_RATIO = 10.0


class _RouteTimes:
    def __init__(self, latency_ms: float, is_long: bool) -> None:
        self.mean_ms = latency_ms
        self.baseline_ms = latency_ms
        self.samples = 1
        self.moved_ms = 0.0
        self.is_long = is_long


class ServiceTimes:
    """Measured service times of one worker's routes.

    The baseline of a route falls quickly to lower times and rises slowly, so
    that it stays near the time that the worker takes when it isn't loaded.
    The median over all calls moves by a fixed ratio for each call, up or
    down, and needs no memory of samples.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteTimes] = {}
        self._median_ms = 0.0

    @property
    def median_ms(self) -> float:
        """The median over the recent calls of all routes."""
        return self._median_ms

    def get_expected_ms(self, policy: settings_policy.RoutePolicy) -> float:
        """Returns how long a call of a route is likely to take; 0 unknown."""
        times = self._routes.get(policy.route)
        if times is None or times.samples < MIN_SAMPLES:
            return 0.0
        return min(times.mean_ms, times.baseline_ms)

    def is_long(self, policy: settings_policy.RoutePolicy) -> bool:
        """Tells whether a route's calls are long, as measured or declared."""
        times = self._routes.get(policy.route)
        if times is None or times.samples < MIN_SAMPLES:
            return policy.long_running
        factor_ratio = LONG_FACTOR_RATIO
        if times.is_long:
            factor_ratio /= 2
        times.is_long = times.mean_ms > factor_ratio * self._median_ms
        return times.is_long

    def record(
        self,
        policy: settings_policy.RoutePolicy,
        latency_ms: float,
        now_ms: float,
    ) -> float:
        """Takes a time; returns the recent mean against the baseline."""
        self._move_median(latency_ms)
        times = self._routes.get(policy.route)
        if times is None:
            times = _RouteTimes(latency_ms, policy.long_running)
            self._routes[policy.route] = times
            return 1.0
        times.samples += 1
        weight_ratio = max(MEAN_WEIGHT_RATIO, 1.0 / times.samples)
        times.mean_ms += (latency_ms - times.mean_ms) * weight_ratio
        self._move_baseline(times, now_ms)
        if times.baseline_ms <= 0.0 or times.samples < MIN_SAMPLES:
            return 1.0
        return times.mean_ms / times.baseline_ms

    def _move_baseline(self, times: _RouteTimes, now_ms: float) -> None:
        elapsed_ms = now_ms - times.moved_ms
        times.moved_ms = now_ms
        if times.samples <= BASELINE_SAMPLES:
            times.baseline_ms = times.mean_ms
            return
        change_ms = times.mean_ms - times.baseline_ms
        rise_ratio = min(1.0, elapsed_ms / BASELINE_RISE_MS)
        ratio = BASELINE_FALL_RATIO if change_ms < 0 else rise_ratio
        times.baseline_ms += change_ms * ratio

    def _move_median(self, latency_ms: float) -> None:
        if self._median_ms == 0.0:
            self._median_ms = latency_ms
        elif latency_ms > self._median_ms:
            self._median_ms *= 1.0 + MEDIAN_STEP_RATIO
        else:
            self._median_ms *= 1.0 - MEDIAN_STEP_RATIO
