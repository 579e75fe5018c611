"""How a daemon judges its own verdicts and the network."""

import pytest

from kumquatridge.membership import health

INTERVAL_MS = 500.0
EXCHANGES = 400


@pytest.mark.parametrize(
    ("every", "is_lossy", "most_ms"),
    [
        pytest.param(0, False, INTERVAL_MS, id="all answered"),
        pytest.param(20, False, INTERVAL_MS, id="one in 20 lost"),
        pytest.param(2, True, 2 * INTERVAL_MS, id="every other lost"),
        pytest.param(1, True, 2 * INTERVAL_MS, id="all lost"),
    ],
)
def test_lost_heartbeats_lengthen_the_interval(
    every: int, is_lossy: bool, most_ms: float
) -> None:
    own = health.LocalHealth()
    for number in range(EXCHANGES):
        is_lost = every > 0 and number % every == 0
        own.record_exchange(is_answered=not is_lost)
    assert own.is_lossy == is_lossy
    assert INTERVAL_MS <= own.stretch_interval(INTERVAL_MS) <= most_ms
