"""Local health of a daemon on a network that loses messages."""

import pytest

from kumquatridge.membership import health

INTERVAL_MS = 500.0
# Enough for the moving average of unanswered heartbeats to settle.
EXCHANGES = 400


# Every n-th heartbeat is lost if `lost_every` is n, none if it is 0. `max_ms`
# is the upper limit of the lengthened interval.
@pytest.mark.parametrize(
    ("lost_every", "is_lossy", "max_ms"),
    [
        pytest.param(0, False, INTERVAL_MS, id="all answered"),
        pytest.param(20, False, INTERVAL_MS, id="one in 20 lost"),
        pytest.param(2, True, 2 * INTERVAL_MS, id="every other lost"),
        pytest.param(1, True, 2 * INTERVAL_MS, id="all lost"),
    ],
)
def test_lost_heartbeats_lengthen_the_interval(
    lost_every: int, is_lossy: bool, max_ms: float
) -> None:
    local = health.LocalHealth()
    for number in range(EXCHANGES):
        is_lost = lost_every > 0 and number % lost_every == 0
        local.record_exchange(is_answered=not is_lost)
    assert local.is_lossy == is_lossy
    assert INTERVAL_MS <= local.stretch_interval(INTERVAL_MS) <= max_ms
