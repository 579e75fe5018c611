"""Calls that other daemons have at an instance, as far as reports tell."""

import math

MEAN_WEIGHT_RATIO = 0.2


class ForeignLoad:
    """An estimate that fades from the last report to the recent mean.

    The calls that a report counted leave within the time that the worker
    typically takes, and others take their place: after that time the report
    says no more than the mean of the reports does.
    """

    def __init__(self) -> None:
        self._last = 0.0
        self._mean: float | None = None
        self._reported_ms = 0.0
        self._typical_ms = 0.0

    def record(
        self, foreign_calls: float, typical_ms: float, now_ms: float
    ) -> None:
        """Takes the calls of others that a report counted."""
        self._last = max(0.0, foreign_calls)
        if self._mean is None:
            self._mean = self._last
        self._mean += (self._last - self._mean) * MEAN_WEIGHT_RATIO
        self._reported_ms = now_ms
        self._typical_ms = typical_ms

    def get(self, now_ms: float) -> float:
        """Returns how many calls of others are likely to be there."""
        if self._mean is None:
            return 0.0
        if self._typical_ms <= 0.0:
            return self._last
        age_ms = now_ms - self._reported_ms
        weight_ratio = math.exp(-age_ms / self._typical_ms)
        return self._mean + (self._last - self._mean) * weight_ratio
