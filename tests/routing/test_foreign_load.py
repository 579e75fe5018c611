"""What reports tell of the calls of others, as time passes."""

import pytest

from kumquatridge.routing import foreign_load

TYPICAL_MS = 40.0
LONG_MS = 100 * TYPICAL_MS


@pytest.mark.parametrize(
    ("reported", "age_ms", "expected"),
    [
        pytest.param([], 0.0, 0.0, id="no report"),
        pytest.param([5.0], LONG_MS, 5.0, id="one report is its own mean"),
        pytest.param([2.0, 7.0], 0.0, 7.0, id="a new report counts alone"),
        pytest.param([2.0, 7.0], LONG_MS, 3.0, id="an old one in the mean"),
        pytest.param([2.0, -1.0], 0.0, 0.0, id="never below none"),
    ],
)
def test_fades_to_the_mean(
    reported: list[float], age_ms: float, expected: float
) -> None:
    load = foreign_load.ForeignLoad()
    for calls in reported:
        load.record(calls, TYPICAL_MS, 0.0)
    assert load.get(age_ms) == pytest.approx(expected)
