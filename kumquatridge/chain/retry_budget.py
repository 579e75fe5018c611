"""A limit on the retries of one daemon in relation to its first attempts.

The retry allowance of a chain bounds the retries of one root; this bounds the
retries of all roots together when many calls fail at the same time.
"""

import collections
from collections.abc import Callable
import dataclasses

from kumquatridge import clock

BUCKET_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """The permitted ratio of retries to first attempts over a window.

    A window may have `min_retries` retries plus `ratio` times its first
    attempts.
    """

    ratio: float = 0.1
    window_ms: int = 10_000
    min_retries: int = 20


class _Bucket:
    def __init__(self, index: int) -> None:
        self.index = index
        self.first_attempts = 0
        self.retries = 0


def count_single_daemon() -> int:
    """Returns 1, so that one daemon has all of `min_retries` to itself."""
    return 1


class RetryBudget:
    """Counts first attempts and retries over a sliding window.

    `min_retries` is divided equally among several daemons; `count_daemons`
    returns their present number.
    """

    def __init__(
        self,
        settings: RetryBudgetSettings,
        count_daemons: Callable[[], int] = count_single_daemon,
    ) -> None:
        self._settings = settings
        self._count_daemons = count_daemons
        self._buckets: collections.deque[_Bucket] = collections.deque()
        self._first_attempts = 0
        self._retries = 0

    def record_first_attempt(self) -> None:
        """Counts the first attempt at a call."""
        self._get_bucket().first_attempts += 1
        self._first_attempts += 1

    def try_acquire(self) -> bool:
        """Counts a retry if the budget allows it; returns whether it does."""
        bucket = self._get_bucket()
        settings = self._settings
        min_retries = settings.min_retries / max(1, self._count_daemons())
        limit = min_retries + settings.ratio * self._first_attempts
        if self._retries + 1 > limit:
            return False
        bucket.retries += 1
        self._retries += 1
        return True

    def record_retry(self) -> None:
        """Counts a retry that this budget did not decide on.

        The call, or one of its ancestors, was already sent as a retry. It is
        not limited here, but leaves fewer retries to `try_acquire`.
        """
        self._get_bucket().retries += 1
        self._retries += 1

    def _get_bucket(self) -> _Bucket:
        index = int(clock.get_now_ms()) // BUCKET_MS
        oldest = index - self._settings.window_ms // BUCKET_MS
        while self._buckets and self._buckets[0].index <= oldest:
            expired = self._buckets.popleft()
            self._first_attempts -= expired.first_attempts
            self._retries -= expired.retries
        if not self._buckets or self._buckets[-1].index != index:
            self._buckets.append(_Bucket(index))
        return self._buckets[-1]


class RetryBudgets:
    """The retry budget of each service, all with the same settings."""

    def __init__(
        self,
        settings: RetryBudgetSettings,
        count_daemons: Callable[[], int] = count_single_daemon,
    ) -> None:
        self._settings = settings
        self._count_daemons = count_daemons
        self._budgets: dict[str, RetryBudget] = {}

    def get(self, service: str) -> RetryBudget:
        """Returns the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._settings, self._count_daemons)
            self._budgets[service] = budget
        return budget
