"""A daemon's retries stay within a ratio of its first tries."""

import asyncio

import pytest

from kumquatridge.chain import retry_budget

SETTINGS = retry_budget.RetryBudgetSettings(ratio=0.5, window_ms=5000, floor=2)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("first_tries", "allowed"),
    [
        pytest.param(0, 2, id="the floor"),
        pytest.param(10, 7, id="the floor and half of the first tries"),
    ],
)
async def test_retries_are_limited(first_tries: int, allowed: int) -> None:
    budget = retry_budget.RetryBudget(SETTINGS)
    for _ in range(first_tries):
        budget.record_first_attempt()
    assert sum(budget.try_acquire() for _ in range(20)) == allowed


@pytest.mark.looptime
async def test_window_slides() -> None:
    budget = retry_budget.RetryBudget(SETTINGS)
    assert [budget.try_acquire() for _ in range(3)] == [True, True, False]
    await asyncio.sleep(4.0)
    assert not budget.try_acquire()
    await asyncio.sleep(2.0)
    assert budget.try_acquire()


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("daemons", "most"), [(1, 60), (16, 60), (90, 60), (300, 60)]
)
async def test_floor_is_shared_by_all_daemons(daemons: int, most: int) -> None:
    settings = retry_budget.RetryBudgetSettings(ratio=0.0, floor=60)
    retry_budgets = [
        retry_budget.RetryBudget(settings, lambda: daemons)
        for _ in range(daemons)
    ]
    taken = sum(one.try_acquire() for one in retry_budgets for _ in range(100))
    assert taken <= most
