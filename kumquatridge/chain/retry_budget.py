"""A limit on the retries that a daemon sends to a service.

The retry allowance bounds the retries of one chain: a root request and the
calls it causes. The retry budget bounds the retries of all chains together when
many calls fail at the same time. It grows with the number of first attempts
that the daemon sends.
"""

import collections
from collections.abc import Callable, Sequence
import dataclasses
import itertools

from kumquatridge import clock

# The window of a budget moves in steps of this length.
BUCKET_MS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """The permitted ratio of retries to first attempts over a window.

    Within `window_ms`, counted in whole `BUCKET_MS`, `min_retries` retries are
    permitted, plus `ratio` times the first attempts. These are counted in the
    same period and in the one before it, which has the weight
    `earlier_window_ratio`: when many calls begin to fail, fewer calls follow,
    just as the retries are needed. As a weighted mean, the sum over all daemons
    never exceeds the greater of both sums; the greater of both counts of each
    daemon could.
    """

    ratio: float = 0.1
    window_ms: int = 10_000
    min_retries: int = 20
    earlier_window_ratio: float = 0.0


class _Bucket:
    """Counts of one `BUCKET_MS` of the clock.

    `daemons` is the highest number of daemons seen in that time.
    """

    def __init__(self) -> None:
        self.first_attempts = 0
        self.retries = 0
        self.daemons = 1


def count_single_daemon() -> int:
    """Returns 1, so that one daemon has all of `min_retries` to itself."""
    return 1


class RetryBudget:
    """Counts first attempts and retries over a sliding window.

    `min_retries` is divided equally among the daemons that share it;
    `count_daemons` returns their present number, this daemon included. The
    highest number of the window applies, since a daemon that has just left may
    have spent its share.

    In the first window only `start_ratio` of the share is available: the daemon
    may have restarted, and no longer knows what it spent before.
    """

    def __init__(
        self,
        settings: RetryBudgetSettings,
        count_daemons: Callable[[], int] = count_single_daemon,
        *,
        start_ratio: float = 1.0,
    ) -> None:
        self._settings = settings
        self._count_daemons = count_daemons
        self._start_ratio = start_ratio
        self._created_ms = clock.get_now_ms()
        # Buckets of one window.
        self._length = settings.window_ms // BUCKET_MS
        # Buckets of two windows, without gaps, the last one at `_index`.
        self._buckets: collections.deque[_Bucket] = collections.deque(
            (_Bucket() for _ in range(2 * self._length)),
            maxlen=2 * self._length,
        )
        self._index = self._get_index()

    def record_first_attempt(self) -> None:
        """Counts the first attempt at a call."""
        self._get_bucket().first_attempts += 1

    def try_acquire(self) -> bool:
        """Counts a retry if the budget permits it; returns whether it does."""
        if self.get_available() < 1.0:
            return False
        self._get_bucket().retries += 1
        return True

    def record_retry(self) -> None:
        """Counts a retry for which `try_acquire` was not called.

        The call, or one of its ancestors, was already sent as a retry. It is
        not refused here, but leaves fewer retries to `try_acquire`.
        """
        self._get_bucket().retries += 1

    def get_available(self) -> float:
        """Returns how many retries are left now, 0 or less if there are none.

        Fractions accumulate with further first attempts.
        """
        bucket = self._get_bucket()
        bucket.daemons = max(bucket.daemons, self._count_daemons())
        buckets = tuple(self._buckets)
        length = self._length
        daemons = max(counted.daemons for counted in buckets[length:])
        share = self._settings.min_retries / daemons
        if clock.get_now_ms() - self._created_ms < self._settings.window_ms:
            share *= self._start_ratio
        # The number of first attempts and of retries before each bucket.
        calls = (0, *itertools.accumulate(b.first_attempts for b in buckets))
        retries = (0, *itertools.accumulate(b.retries for b in buckets))
        # A window that starts later ends in the future. It must keep the bound
        # even if no more calls arrive.
        return min(
            share
            + self._settings.ratio * self._count_credit(calls, start)
            - (retries[-1] - retries[start])
            for start in range(length, 2 * length)
        )

    def _count_credit(self, calls: Sequence[int], start: int) -> float:
        """Returns the first attempts that count for a window.

        `calls` has the number of first attempts before each bucket, `start` is
        the first bucket of the window.
        """
        weight_ratio = self._settings.earlier_window_ratio
        in_window = calls[-1] - calls[start]
        earlier = calls[start] - calls[start - self._length]
        return (1.0 - weight_ratio) * in_window + weight_ratio * earlier

    def _get_index(self) -> int:
        return int(clock.get_now_ms()) // BUCKET_MS

    def _get_bucket(self) -> _Bucket:
        """Returns the bucket of the present time."""
        index = self._get_index()
        for _ in range(min(index - self._index, 2 * self._length)):
            self._buckets.append(_Bucket())
        self._index = index
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
