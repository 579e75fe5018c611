"""Estimates the external load of an instance.

That is the number of calls from other daemons that are queued or in progress at
the instance.
"""

import math

# Weight of the newest report in the mean.
MEAN_WEIGHT_RATIO = 0.2


class ExternalLoad:
    """An estimate that decays from the last report to the recent mean.

    The calls that a report counts complete within about the typical latency of
    the worker and are replaced by others. After that time the last report is no
    better an estimate than the mean of all reports.
    """

    def __init__(self) -> None:
        self._last_calls = 0.0
        self._mean_calls: float | None = None
        # When the last report arrived, and the typical latency that it gave.
        self._reported_ms = 0.0
        self._typical_ms = 0.0

    def record(
        self, external_calls: float, typical_ms: float, now_ms: float
    ) -> None:
        """Records the number of calls of other daemons from a load report.

        `typical_ms` is the typical latency of the worker, 0 if it is unknown.
        """
        self._last_calls = max(0.0, external_calls)
        if self._mean_calls is None:
            self._mean_calls = self._last_calls
        self._mean_calls += (
            self._last_calls - self._mean_calls
        ) * MEAN_WEIGHT_RATIO
        self._reported_ms = now_ms
        self._typical_ms = typical_ms

    def estimate(self, now_ms: float) -> float:
        """Returns the expected number of calls of other daemons.

        It is 0 before the first report.
        """
        if self._mean_calls is None:
            return 0.0
        if self._typical_ms <= 0.0:
            return self._last_calls
        age_ms = now_ms - self._reported_ms
        weight_ratio = math.exp(-age_ms / self._typical_ms)
        return (
            self._mean_calls
            + (self._last_calls - self._mean_calls) * weight_ratio
        )
