"""A daemon's retries stay within a ratio of its first attempts."""

import asyncio

import pytest

from kumquatridge.chain import retry_budget

SETTINGS = retry_budget.RetryBudgetSettings(
    ratio=0.5, window_ms=5000, min_retries=2
)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("first_attempts", "allowed"),
    [
        pytest.param(0, 2, id="minimum without first attempts"),
        pytest.param(10, 7, id="minimum and half of the first attempts"),
    ],
)
async def test_retries_are_limited_by_minimum_and_ratio(
    first_attempts: int, allowed: int
) -> None:
    budget = retry_budget.RetryBudget(SETTINGS)
    for _ in range(first_attempts):
        budget.record_first_attempt()
    # 20 is more than the budget allows in either case.
    assert sum(budget.try_acquire() for _ in range(20)) == allowed


@pytest.mark.looptime
async def test_retry_is_allowed_again_after_the_window() -> None:
    budget = retry_budget.RetryBudget(SETTINGS)
    assert [budget.try_acquire() for _ in range(3)] == [True, True, False]
    # 4 s is within the window of 5 s, 6 s is after it.
    await asyncio.sleep(4.0)
    assert not budget.try_acquire()
    await asyncio.sleep(2.0)
    assert budget.try_acquire()


@pytest.mark.looptime
# With 90 or 300 daemons, the share of one is less than a whole retry.
@pytest.mark.parametrize(
    ("daemons", "max_granted"), [(1, 60), (16, 60), (90, 60), (300, 60)]
)
async def test_minimum_is_shared_by_all_daemons(
    daemons: int, max_granted: int
) -> None:
    # Each daemon tries 100 times. All daemons together may make 60 retries.
    settings = retry_budget.RetryBudgetSettings(ratio=0.0, min_retries=60)
    retry_budgets = [
        retry_budget.RetryBudget(settings, lambda: daemons)
        for _ in range(daemons)
    ]
    granted = sum(
        budget.try_acquire() for budget in retry_budgets for _ in range(100)
    )
    assert granted <= max_granted
