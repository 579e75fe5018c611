"""Ranks of calls and admission levels."""

import hypothesis
from hypothesis import strategies
import pytest

from kumquatridge.admission import levels
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import load_reports
from tests import calls_factory

NORMAL = call_importance.Importance.NORMAL
CRITICAL = call_importance.Importance.CRITICAL


# Each case has the importance and depth of lower and of higher ranked calls.
@pytest.mark.parametrize(
    ("lower", "higher"),
    [
        pytest.param((NORMAL, 3), (CRITICAL, 0), id="importance before depth"),
        pytest.param((NORMAL, 0), (NORMAL, 1), id="nested call above root"),
        pytest.param(
            (NORMAL, 3), (NORMAL, 7), id="deeper class above shallower class"
        ),
    ],
)
async def test_rank_orders_by_importance_then_depth_class(
    lower: tuple[call_importance.Importance, int],
    higher: tuple[call_importance.Importance, int],
) -> None:
    ranks = [
        [
            levels.get_rank(
                calls_factory.make_call(
                    importance=importance, depth=depth, root_id=f"{root}"
                ).chain
            )
            for root in range(200)
        ]
        for importance, depth in (lower, higher)
    ]
    assert max(ranks[0]) < min(ranks[1])


@pytest.mark.parametrize("depth", [1, 2, 3, 14])
async def test_order_of_roots_is_the_same_at_every_hop(depth: int) -> None:
    def sort_roots(at_depth: int) -> list[str]:
        calls = [
            calls_factory.make_call(root_id=f"{root}", depth=at_depth)
            for root in range(300)
        ]
        calls.sort(key=lambda call: levels.get_rank(call.chain))
        return [call.chain.root_id for call in calls]

    assert sort_roots(depth) == sort_roots(1)
    assert sort_roots(depth) == sort_roots(0)


@hypothesis.given(strategies.integers(0, levels.RANKS - 1))
def test_rank_survives_round_trip_through_load_report(rank: int) -> None:
    level = levels.AdmissionLevel.from_rank(rank)
    # The last values are no calls in progress, a limit of 1 and an unknown
    # latency.
    report = load_reports.LoadReport(
        level.importance, level.depth_class, level.threshold, 0, 1, 0.0
    )
    assert levels.get_min_admitted_rank(report) == rank
