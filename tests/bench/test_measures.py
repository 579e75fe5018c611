"""Figures, capacity and invariants, computed from given records."""

import dataclasses
import math

import pytest

from kumquatridge.bench import bounds
from kumquatridge.bench import capacity
from kumquatridge.bench import demands
from kumquatridge.bench import deployments
from kumquatridge.bench import jobs
from kumquatridge.bench import measures
from kumquatridge.bench import records as bench_records
from kumquatridge.bench import scenario
from kumquatridge.bench import spans
from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals

# A call to "root" makes two calls to "leaf"; all take the plain service time.
LEAF = deployments.Step("GET", "leaf", "/l", 1.0, (), is_parallel=False)
ROOT = deployments.Step(
    "POST", "root", "/r", 1.0, (LEAF, LEAF), is_parallel=False
)
CHAIN = deployments.Chain("c", ROOT)
# One data centre, delays of 1 ms, unscaled slots. "root" has 1 worker with 10
# slots and takes 20 ms, "leaf" 2 workers with 2 slots each and takes 40 ms.
DEPLOYMENT = deployments.Deployment(
    "d",
    ("here",),
    1.0,
    1.0,
    1.0,
    (
        deployments.Service("root", 1, 10, 20.0),
        deployments.Service("leaf", 2, 2, 40.0),
    ),
    (CHAIN,),
)
MIX = (demands.Share("c", 1.0),)


# A round trip within the data centre takes 0.4 ms, so that "root" holds its
# slot for 20 + 2 * 40.4 ms.
@pytest.mark.parametrize(
    ("service", "held_ms"), [("root", 100.8), ("leaf", 80.0)]
)
def test_slot_time_includes_sequential_children(
    service: str, held_ms: float
) -> None:
    assert capacity.get_slot_times(CHAIN, DEPLOYMENT)[service] == held_ms


def test_slot_time_includes_the_longest_parallel_child() -> None:
    step = dataclasses.replace(ROOT, is_parallel=True)
    assert capacity.get_slot_time_ms(step, DEPLOYMENT) == 60.4


def test_capacity_is_limited_by_the_most_used_service() -> None:
    # "leaf" has 4 slots, and a request holds one for 80 ms.
    assert capacity.get_capacity_per_s(DEPLOYMENT, MIX) == pytest.approx(50.0)


def measure(
    bound: bounds.Bound, records: bench_records.Records
) -> measures.Measurement:
    """Evaluates one bound of a scenario of 20 s."""
    script = scenario.Scenario(
        "s",
        "t",
        DEPLOYMENT,
        20_000.0,
        (),
        demands.CallerBehaviour(),
        (),
        (bound,),
    )
    return measures.RunMeasures(script, records).measure_all()[0]


def make_records(
    good_per_s: int, bad_per_s: int, slow_from_s: int = 99, slow_to_s: int = 99
) -> bench_records.Records:
    """Returns requests that arrive in each second of 20 s, 1 ms apart.

    The good ones succeed, the bad ones fail. Those from `slow_from_s` to
    `slow_to_s` take 900 ms instead of 100 ms; by default, none.
    """
    records = bench_records.Records()
    for second in range(20):
        is_slow = slow_from_s <= second < slow_to_s
        latency_ms = 900.0 if is_slow else 100.0
        for number in range(good_per_s + bad_per_s):
            at_ms = second * 1000.0 + number
            records.finished.append(
                bench_records.FinishedRequest(
                    "c",
                    at_ms,
                    at_ms + latency_ms,
                    number < good_per_s,
                    1,
                    "",
                )
            )
    return records


SPAN = spans.Span(0.0, 20_000.0)
QUIET = spans.Span(0.0, 5000.0)
# The capacity is 50 requests per second. Arguments of make_records: good and
# bad requests per second, and the seconds from and to which requests are slow.
FIGURES = [
    pytest.param(
        bounds.Goodput(SPAN, 0.9), make_records(50, 50), "1.0000", True
    ),
    pytest.param(
        bounds.Goodput(SPAN, 0.9), make_records(25, 75), "0.5000", False
    ),
    pytest.param(
        bounds.Goodput(SPAN, 0.9), make_records(20, 0), "1.0000", True
    ),
    pytest.param(
        bounds.Success(("c",), SPAN, 0.9),
        make_records(3, 1),
        "0.7500",
        False,
    ),
    pytest.param(
        bounds.TailLatency("c", spans.Span(5000.0, 9000.0), QUIET, 1.3),
        make_records(50, 0, 5, 9),
        "9 times",
        False,
    ),
    pytest.param(
        bounds.Recovery(("c",), 8000.0, QUIET, 3000.0),
        make_records(50, 0, 5, 9),
        "0.25 s",
        True,
    ),
    pytest.param(
        bounds.Recovery(("c",), 8000.0, QUIET, 3000.0),
        make_records(50, 0, 5, 20),
        "inf s",
        False,
    ),
    pytest.param(
        bounds.Standstill(SPAN, 1000.0),
        make_records(1, 0),
        "1 s",
        True,
    ),
]


@pytest.mark.parametrize(("bound", "records", "figure", "holds"), FIGURES)
def test_bound_has_expected_figure(
    bound: bounds.Bound,
    records: bench_records.Records,
    figure: str,
    holds: bool,
) -> None:
    measured = measure(bound, records)
    assert (measured.figure, measured.holds) == (figure, holds)


def test_p99_without_successful_requests_is_infinite() -> None:
    assert measures.get_p99_ms([]) == math.inf


JOB = jobs.Job(1, "key", ROOT, "/r/1", is_poison=False, key_created_ms=0.0)
NOT_RUN = outcomes.NotRun(refusals.Draining("x"))
OTHER_ANSWER = outcomes.Completed(200, (), call_body.BufferedBody(b"2"))


def test_repeated_run_of_a_key_is_counted() -> None:
    records = bench_records.Records()
    records.record_run(JOB)
    assert records.count_repeated_keys() == 0
    records.record_run(dataclasses.replace(JOB, call_id=2))
    assert records.count_repeated_keys() == 1


@pytest.mark.parametrize("runs", [0, 1])
def test_run_of_a_call_reported_as_not_run_is_counted(runs: int) -> None:
    records = bench_records.Records()
    records.record_outcome(JOB, NOT_RUN)
    for _ in range(runs):
        records.record_run(JOB)
    assert records.count_false_not_run() == runs


def test_answer_of_another_call_is_counted() -> None:
    records = bench_records.Records()
    records.record_outcome(JOB, jobs.make_answer(JOB, 200))
    assert records.wrong_answers == 0
    records.record_outcome(JOB, OTHER_ANSWER)
    assert records.wrong_answers == 1
