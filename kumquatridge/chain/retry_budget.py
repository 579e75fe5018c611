"""A limit on one daemon's retries in relation to its first tries.

The allowance of a chain bounds the retries of one root; this bounds what many
roots together add when everything fails at once.
"""

import collections
from collections.abc import Callable
import dataclasses

from kumquatridge import clock

BUCKET_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """The ratio over a window; `floor` retries in it are always allowed."""

    ratio: float = 0.1
    window_ms: int = 10_000
    floor: int = 20


class _Bucket:
    def __init__(self, number: int) -> None:
        self.number = number
        self.first_tries = 0
        self.retries = 0


def count_one() -> int:
    """Returns that nobody shares the floor."""
    return 1


class RetryBudget:
    """Counts first tries and retries over a sliding window.

    The floor is for all who share it together; `count_sharers` tells how many
    they are now.
    """

    def __init__(
        self,
        settings: RetryBudgetSettings,
        count_sharers: Callable[[], int] = count_one,
    ) -> None:
        self._settings = settings
        self._count_sharers = count_sharers
        self._buckets: collections.deque[_Bucket] = collections.deque()
        self._first_tries = 0
        self._retries = 0

    def record_first_attempt(self) -> None:
        """Counts the first attempt at a call."""
        self._get_bucket().first_tries += 1
        self._first_tries += 1

    def try_acquire(self) -> bool:
        """Counts a retry if the ratio allows it; returns whether it does."""
        bucket = self._get_bucket()
        settings = self._settings
        floor = settings.floor / max(1, self._count_sharers())
        limit = floor + settings.ratio * self._first_tries
        if self._retries + 1 > limit:
            return False
        bucket.retries += 1
        self._retries += 1
        return True

    def record_retry(self) -> None:
        """Counts a repeat that was decided elsewhere."""
        self._get_bucket().retries += 1
        self._retries += 1

    def _get_bucket(self) -> _Bucket:
        number = int(clock.get_now_ms()) // BUCKET_MS
        oldest = number - self._settings.window_ms // BUCKET_MS
        while self._buckets and self._buckets[0].number <= oldest:
            expired = self._buckets.popleft()
            self._first_tries -= expired.first_tries
            self._retries -= expired.retries
        if not self._buckets or self._buckets[-1].number != number:
            self._buckets.append(_Bucket(number))
        return self._buckets[-1]


class RetryBudgets:
    """The retry budget of each service, all with the same settings."""

    def __init__(
        self,
        settings: RetryBudgetSettings,
        count_sharers: Callable[[], int] = count_one,
    ) -> None:
        self._settings = settings
        self._count_sharers = count_sharers
        self._retry_budgets: dict[str, RetryBudget] = {}

    def get(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._settings, self._count_sharers)
            self._retry_budgets[service] = budget
        return budget
