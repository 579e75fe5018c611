"""Recovery time in the report of the demo."""

import pytest

from kumquatridge.demo import load
from kumquatridge.demo import report

BAD_STATUS = 503
GOOD_STATUS = 200
CALLS_PER_WINDOW = 10


def make_last_results(good_by_window: list[int]) -> list[load.CallResult]:
    """Returns CALLS_PER_WINDOW calls for each window of the last phase.

    `good_by_window` holds the number of successful calls of each window. The
    phase starts 5 s after the start of the load.
    """
    return [
        load.CallResult(
            kind=load.LOOKUP,
            due_s=5.0 + report.WINDOW_S * (window + index / CALLS_PER_WINDOW),
            latency_ms=1.0,
            outcome="",
            reason="",
            status=GOOD_STATUS if index < good_count else BAD_STATUS,
        )
        for window, good_count in enumerate(good_by_window)
        for index in range(CALLS_PER_WINDOW)
    ]


@pytest.mark.parametrize(
    ("good_by_window", "recovery_s"),
    # A window lasts 0.25 s; a window with 9 of 10 successful calls has failed.
    [
        pytest.param([10, 10], 0.0, id="successful from the start"),
        pytest.param(
            [0, 5, 10, 10], 0.5, id="successful from the third window"
        ),
        pytest.param([0, 10, 0, 10], 0.75, id="relapse after recovery"),
        pytest.param([10, 10, 9], None, id="failed calls in the last window"),
        pytest.param([], None, id="no calls"),
    ],
)
def test_recovery_ends_after_the_last_failed_window(
    good_by_window: list[int], recovery_s: float | None
) -> None:
    last_results = make_last_results(good_by_window)
    assert report.get_recovery_s(last_results, 5.0) == recovery_s
