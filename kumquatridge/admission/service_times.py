"""Service times of one worker by route."""

from kumquatridge.settings import policy as settings_policy

# Weight of the newest call in the mean of a route.
MEAN_WEIGHT_RATIO = 0.05
# With each call the baseline moves towards the mean. If the mean is lower, the
# baseline moves by `BASELINE_FALL_RATIO` of the difference. If the mean is
# higher, it moves by the share of `BASELINE_RISE_MS` that has passed since the
# previous call of the route.
BASELINE_FALL_RATIO = 0.02
BASELINE_RISE_MS = 30_000.0
# The ratio by which the median moves with each call.
MEDIAN_STEP_RATIO = 0.05
# With fewer calls, the times of a route count as unknown.
MIN_SAMPLES = 20
# The baseline equals the mean for this many calls of a route.
BASELINE_SAMPLES = 100
# Above this multiple of the median, the mean time makes a route long-running.
LONG_RUNNING_RATIO = 10.0


class _RouteTimes:
    """The service times of one route, after its first call.

    `is_long_running` is as declared in the settings until it is measured.
    """

    def __init__(self, latency_ms: float, is_long_running: bool) -> None:
        self.mean_ms = latency_ms
        self.baseline_ms = latency_ms
        self.sample_count = 1
        self.baseline_updated_ms = 0.0
        self.is_long_running = is_long_running


class ServiceTimes:
    """Measures mean, baseline and median service times of one worker.

    The baseline of a route follows lower times quickly and higher ones slowly,
    so that it stays near the service time of the unloaded worker. The median
    over all calls moves up or down by a fixed ratio for each call, which needs
    no stored samples.
    """

    def __init__(self) -> None:
        self._routes: dict[str, _RouteTimes] = {}
        self._median_ms = 0.0

    @property
    def median_ms(self) -> float:
        """The median over the recent calls of all routes; 0 before any."""
        return self._median_ms

    def get_expected_ms(self, policy: settings_policy.RoutePolicy) -> float:
        """Returns the expected time for a call of a route; 0 if unknown."""
        times = self._routes.get(policy.route)
        if times is None or times.sample_count < MIN_SAMPLES:
            return 0.0
        return min(times.mean_ms, times.baseline_ms)

    def is_long_running(self, policy: settings_policy.RoutePolicy) -> bool:
        """Returns whether a route is long-running.

        That is as declared in the settings until enough calls are measured.
        """
        times = self._routes.get(policy.route)
        if times is None or times.sample_count < MIN_SAMPLES:
            return policy.long_running
        min_ratio = LONG_RUNNING_RATIO
        # Hysteresis: keeps a route from alternating between the two classes.
        if times.is_long_running:
            min_ratio /= 2
        times.is_long_running = times.mean_ms > min_ratio * self._median_ms
        return times.is_long_running

    def record(
        self,
        policy: settings_policy.RoutePolicy,
        latency_ms: float,
        now_ms: float,
    ) -> float:
        """Records a service time; returns the latency ratio of the route.

        That is its mean divided by its baseline, and 1 while the route has too
        few calls.
        """
        self._update_median(latency_ms)
        times = self._routes.get(policy.route)
        if times is None:
            times = _RouteTimes(latency_ms, policy.long_running)
            self._routes[policy.route] = times
            return 1.0
        times.sample_count += 1
        weight_ratio = max(MEAN_WEIGHT_RATIO, 1.0 / times.sample_count)
        times.mean_ms += (latency_ms - times.mean_ms) * weight_ratio
        self._update_baseline(times, now_ms)
        if times.baseline_ms <= 0.0 or times.sample_count < MIN_SAMPLES:
            return 1.0
        return times.mean_ms / times.baseline_ms

    def _update_baseline(self, times: _RouteTimes, now_ms: float) -> None:
        elapsed_ms = now_ms - times.baseline_updated_ms
        times.baseline_updated_ms = now_ms
        if times.sample_count <= BASELINE_SAMPLES:
            times.baseline_ms = times.mean_ms
            return
        change_ms = times.mean_ms - times.baseline_ms
        rise_ratio = min(1.0, elapsed_ms / BASELINE_RISE_MS)
        weight_ratio = BASELINE_FALL_RATIO if change_ms < 0 else rise_ratio
        times.baseline_ms += change_ms * weight_ratio

    def _update_median(self, latency_ms: float) -> None:
        if self._median_ms == 0.0:
            self._median_ms = latency_ms
        elif latency_ms > self._median_ms:
            self._median_ms *= 1.0 + MEDIAN_STEP_RATIO
        else:
            self._median_ms *= 1.0 - MEDIAN_STEP_RATIO
