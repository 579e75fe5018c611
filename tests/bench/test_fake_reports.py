"""Reports of load that arrive late, or say the opposite."""

import asyncio
import dataclasses

import pytest

from kumquatridge.admission import levels
from kumquatridge.bench import fake_reports
from kumquatridge.calls import body as call_body
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import load_reports
from kumquatridge.calls import outcomes

LATE_MS = 5000.0


def make_answer(in_progress: int) -> outcomes.Completed:
    """Returns an answer of an instance that admits critical calls only."""
    report = load_reports.LoadReport(
        call_importance.Importance.CRITICAL, 0, 0, in_progress, 10, 40.0
    )
    body = call_body.BufferedBody(b"")
    return outcomes.Completed(200, (), body, report=report)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Answers with 1, 2, 3... calls in progress and what arrives of them."""

    said_at_s: tuple[float, ...]
    arrived: tuple[int | None, ...]


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(Case((0, 1, 4.9), (None, None, None)), id="none is due"),
        pytest.param(Case((0, 5), (None, 1)), id="the first is due"),
        pytest.param(
            Case((0, 1, 2, 6.5, 7), (None, None, None, 2, 3)),
            id="the newest that is due",
        ),
    ],
)
async def test_late(case: Case) -> None:
    late = fake_reports.FakeReports()
    late.set_late(LATE_MS)
    arrived = []
    now_s = 0.0
    for number, said_at_s in enumerate(case.said_at_s, 1):
        await asyncio.sleep(said_at_s - now_s)
        now_s = said_at_s
        report = late.pass_on("ordering-1", make_answer(number)).report
        arrived.append(report and report.in_progress)
    assert tuple(arrived) == case.arrived


@pytest.mark.parametrize(
    ("in_progress", "said"), [(0, 10), (3, 7), (10, 0), (12, 0)]
)
def test_false(in_progress: int, said: int) -> None:
    lying = fake_reports.FakeReports()
    lying.set_liars(frozenset({"ordering-1"}))
    answer = make_answer(in_progress)
    report = lying.pass_on("ordering-1", answer).report
    assert report is not None
    assert report.in_progress == said
    assert levels.get_min_admitted_rank(report) == levels.ADMIT_ALL_RANK
    assert lying.pass_on("ordering-2", answer) == answer
