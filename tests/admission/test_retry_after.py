"""Retry-after times of refused callers."""

import random

import pytest

from kumquatridge.admission import retry_after
from kumquatridge.calls import importance as call_importance

Importance = call_importance.Importance
REMAINING_MS = 3000.0
CALLERS = 600
# Number of equal parts of the range from the shortest to the longest wait.
BUCKETS = 10


@pytest.mark.parametrize("importance", list(Importance))
def test_retry_after_is_within_a_third_of_the_remaining_time(
    importance: Importance,
) -> None:
    rng = random.Random(1)
    for remaining_ms in (0.0, -5.0, 20.0, REMAINING_MS):
        for _ in range(100):
            wait_ms = retry_after.choose_retry_after_ms(
                importance, remaining_ms, rng
            )
            assert 0 <= wait_ms <= max(0.0, remaining_ms) / 3


@pytest.mark.parametrize("importance", list(Importance))
def test_retries_of_callers_refused_together_are_spread(
    importance: Importance,
) -> None:
    rng = random.Random(1)
    waits_ms = [
        retry_after.choose_retry_after_ms(importance, REMAINING_MS, rng)
        for _ in range(CALLERS)
    ]
    bucket_ms = (max(waits_ms) - min(waits_ms)) / BUCKETS
    # Waits of BACKGROUND calls have the narrowest range, 0.3 of the longest
    # wait. The random sample need not reach both ends of it.
    assert max(waits_ms) - min(waits_ms) >= REMAINING_MS / 3 * 0.25
    for bucket in range(BUCKETS):
        start_ms = min(waits_ms) + bucket * bucket_ms
        callers_in_bucket = sum(
            start_ms <= wait_ms < start_ms + bucket_ms for wait_ms in waits_ms
        )
        # Twice an even share.
        assert callers_in_bucket <= 2 * CALLERS / BUCKETS


def test_more_important_calls_retry_earlier_on_average() -> None:
    rng = random.Random(1)
    # In ascending order of importance.
    totals_ms = [
        sum(
            retry_after.choose_retry_after_ms(importance, REMAINING_MS, rng)
            for _ in range(CALLERS)
        )
        for importance in Importance
    ]
    assert totals_ms == sorted(totals_ms, reverse=True)
