"""Delayed and falsified load reports between daemons."""

import asyncio
import dataclasses

import pytest

from kumquatridge.admission import levels
from kumquatridge.bench import fake_reports
from kumquatridge.calls import body as call_body
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import load_reports
from kumquatridge.calls import outcomes

DELAY_MS = 5000.0


def make_answer(in_progress: int) -> outcomes.Completed:
    """Returns an answer whose report admits critical calls only.

    The report has depth class 0, threshold 0, a limit of 10 calls in progress
    and a latency of 40 ms.
    """
    report = load_reports.LoadReport(
        call_importance.Importance.CRITICAL, 0, 0, in_progress, 10, 40.0
    )
    body = call_body.BufferedBody(b"")
    return outcomes.Completed(200, (), body, report=report)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Times at which answers are sent, and the reports received with them.

    The answers report 1, 2, 3... calls in progress. `arrived` holds the number
    that is received with each answer, None if it has no report.
    """

    reported_at_s: tuple[float, ...]
    arrived: tuple[int | None, ...]


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(Case((0, 1, 4.9), (None, None, None)), id="no report due"),
        pytest.param(Case((0, 5), (None, 1)), id="first report due"),
        pytest.param(
            Case((0, 1, 2, 6.5, 7), (None, None, None, 2, 3)),
            id="newest due report",
        ),
    ],
)
async def test_delayed_reports_arrive_when_due(case: Case) -> None:
    reports = fake_reports.FakeReports()
    reports.set_delay(DELAY_MS)
    arrived = []
    now_s = 0.0
    for number, reported_at_s in enumerate(case.reported_at_s, 1):
        await asyncio.sleep(reported_at_s - now_s)
        now_s = reported_at_s
        report = reports.forward("ordering-1", make_answer(number)).report
        arrived.append(report and report.in_progress)
    assert tuple(arrived) == case.arrived


# The limit is 10; the last answer has more calls in progress than that.
@pytest.mark.parametrize(
    ("in_progress", "reported"), [(0, 10), (3, 7), (10, 0), (12, 0)]
)
def test_falsified_report_inverts_the_load(
    in_progress: int, reported: int
) -> None:
    reports = fake_reports.FakeReports()
    reports.set_falsified_instances(frozenset({"ordering-1"}))
    answer = make_answer(in_progress)
    report = reports.forward("ordering-1", answer).report
    assert report is not None
    assert report.in_progress == reported
    assert levels.get_min_admitted_rank(report) == levels.ADMIT_ALL_RANK
    assert reports.forward("ordering-2", answer) == answer
