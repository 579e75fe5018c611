"""A daemon's retries stay within a ratio of its first tries."""

import asyncio

import pytest

from kumquatridge.chain import ratio as retry_ratio

SETTINGS = retry_ratio.RatioSettings(ratio=0.5, window_ms=5000, floor=2)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("first_tries", "allowed"),
    [
        pytest.param(0, 2, id="the floor"),
        pytest.param(10, 7, id="the floor and half of the first tries"),
    ],
)
async def test_retries_are_limited(first_tries: int, allowed: int) -> None:
    ratio = retry_ratio.RetryRatio(SETTINGS)
    for _ in range(first_tries):
        ratio.record_first_try()
    assert sum(ratio.take_retry() for _ in range(20)) == allowed


@pytest.mark.looptime
async def test_window_slides() -> None:
    ratio = retry_ratio.RetryRatio(SETTINGS)
    assert [ratio.take_retry() for _ in range(3)] == [True, True, False]
    await asyncio.sleep(4.0)
    assert not ratio.take_retry()
    await asyncio.sleep(2.0)
    assert ratio.take_retry()


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("daemons", "most"), [(1, 60), (16, 60), (90, 60), (300, 60)]
)
async def test_floor_is_shared_by_all_daemons(daemons: int, most: int) -> None:
    settings = retry_ratio.RatioSettings(ratio=0.0, floor=60)
    ratios = [
        retry_ratio.RetryRatio(settings, lambda: daemons)
        for _ in range(daemons)
    ]
    taken = sum(one.take_retry() for one in ratios for _ in range(100))
    assert taken <= most
