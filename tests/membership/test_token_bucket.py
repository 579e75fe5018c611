"""A token bucket allows a burst and then a steady rate."""

import asyncio

import pytest

from kumquatridge.membership import token_bucket


# A case takes `wanted` tokens after each wait; `granted` is what it gets. The
# bucket holds 4 tokens and gets 2 a second.
@pytest.mark.looptime
@pytest.mark.parametrize(
    ("waits_s", "wanted", "granted"),
    [
        pytest.param((0.0,), 3, [3], id="within the burst"),
        pytest.param((0.0, 0.0), 3, [3, 1], id="burst spent"),
        pytest.param((0.0, 0.0, 1.0), 4, [4, 0, 2], id="refilled over time"),
        pytest.param((0.0, 60.0), 9, [4, 4], id="never above the burst"),
    ],
)
async def test_bucket_grants_burst_then_steady_rate(
    waits_s: tuple[float, ...], wanted: int, granted: list[int]
) -> None:
    bucket = token_bucket.TokenBucket(per_s=2.0, burst=4)
    granted_counts = []
    for wait_s in waits_s:
        await asyncio.sleep(wait_s)
        granted_counts.append(bucket.take(wanted))
    assert granted_counts == granted
