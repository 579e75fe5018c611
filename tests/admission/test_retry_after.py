"""When callers that were turned away come back."""

import random

import pytest

from kumquatridge.admission import retry_after
from kumquatridge.calls import importance as call_importance

Importance = call_importance.Importance
REMAINING_MS = 3000.0
CALLERS = 600
BUCKETS = 10


@pytest.mark.parametrize("importance", list(Importance))
def test_nobody_is_told_to_wait_longer_than_callers_do(
    importance: Importance,
) -> None:
    source = random.Random(1)
    for remaining_ms in (0.0, -5.0, 20.0, REMAINING_MS):
        for _ in range(100):
            told_ms = retry_after.choose_retry_after_ms(
                importance, remaining_ms, source
            )
            assert 0 <= told_ms <= max(0.0, remaining_ms) / 3


@pytest.mark.parametrize("importance", list(Importance))
def test_a_crest_turned_away_does_not_return_as_one(
    importance: Importance,
) -> None:
    source = random.Random(1)
    told = [
        retry_after.choose_retry_after_ms(importance, REMAINING_MS, source)
        for _ in range(CALLERS)
    ]
    width_ms = (max(told) - min(told)) / BUCKETS
    assert max(told) - min(told) >= REMAINING_MS / 3 * 0.25
    for number in range(BUCKETS):
        first = min(told) + number * width_ms
        inside = sum(first <= one < first + width_ms for one in told)
        assert inside <= 2 * CALLERS / BUCKETS


def test_the_more_important_return_first() -> None:
    source = random.Random(1)
    means = [
        sum(
            retry_after.choose_retry_after_ms(importance, REMAINING_MS, source)
            for _ in range(CALLERS)
        )
        for importance in Importance
    ]
    assert means == sorted(means, reverse=True)
