"""Estimated calls of other daemons at an instance, by age of the reports."""

import pytest

from kumquatridge.routing import external_load

TYPICAL_MS = 40.0
# Long enough for the estimate to decay to the mean.
LONG_MS = 100 * TYPICAL_MS


@pytest.mark.parametrize(
    ("reports", "age_ms", "expected"),
    [
        pytest.param([], 0.0, 0.0, id="no report"),
        pytest.param([5.0], LONG_MS, 5.0, id="one report is its own mean"),
        pytest.param([2.0, 7.0], 0.0, 7.0, id="new report counts alone"),
        # The newest report has a weight of 0.2: 2 + 0.2 * (7 - 2).
        pytest.param([2.0, 7.0], LONG_MS, 3.0, id="old report decays to mean"),
        # A report does not count the calls that have not reached the instance
        # yet, but the calls of this daemon, which are subtracted, include them.
        pytest.param(
            [2.0, -1.0], 0.0, 0.0, id="negative report counts as zero"
        ),
    ],
)
def test_estimate_decays_to_the_mean_of_the_reports(
    reports: list[float], age_ms: float, expected: float
) -> None:
    # All reports arrive at 0 ms.
    estimate = external_load.ExternalLoad()
    for reported_calls in reports:
        estimate.record(reported_calls, TYPICAL_MS, 0.0)
    assert estimate.estimate(age_ms) == pytest.approx(expected)
