"""A limit on the retries that a daemon sends to a service.

The retry allowance bounds the retries of one chain: a root request and the
calls it causes. The retry budget bounds the retries of all chains together when
many calls fail at the same time. It grows with the number of first attempts
that the daemon sends.
"""

import collections
from collections.abc import Callable
import dataclasses

from kumquatridge import clock

# The window of a budget moves in steps of this length.
BUCKET_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """The permitted ratio of retries to first attempts over a window.

    Within `window_ms`, counted in whole `BUCKET_MS`, `min_retries` retries are
    permitted, plus `ratio` times the first attempts of the same period.
    """

    ratio: float = 0.1
    window_ms: int = 10_000
    min_retries: int = 20


class _Bucket:
    """Counts of one `BUCKET_MS` of the clock; `index` is its number."""

    def __init__(self, index: int) -> None:
        self.index = index
        self.first_attempts = 0
        self.retries = 0


def count_single_daemon() -> int:
    """Returns 1, so that one daemon has all of `min_retries` to itself."""
    return 1


class RetryBudget:
    """Counts first attempts and retries over a sliding window.

    `min_retries` is divided equally among the daemons that share it;
    `count_daemons` returns their present number, this daemon included.
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
        """Counts a retry if the budget permits it; returns whether it does."""
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
        """Counts a retry for which `try_acquire` was not called.

        The call, or one of its ancestors, was already sent as a retry. It is
        not refused here, but leaves fewer retries to `try_acquire`.
        """
        self._get_bucket().retries += 1
        self._retries += 1

    def _get_bucket(self) -> _Bucket:
        """Returns the bucket of the present time; drops expired ones."""
        index = int(clock.get_now_ms()) // BUCKET_MS
        last_expired_index = index - self._settings.window_ms // BUCKET_MS
        while self._buckets and self._buckets[0].index <= last_expired_index:
            expired = self._buckets.popleft()
            self._first_attempts -= expired.first_attempts
            self._retries -= expired.retries
        if not self._buckets or self._buckets[-1].index != index:
            self._buckets.append(_Bucket(index))
        return self._buckets[-1]


class RetryBudgets:
    """The retry budget of each called service, all with the same settings."""

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
