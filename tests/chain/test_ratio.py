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
