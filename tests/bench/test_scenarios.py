"""Runs of the quick scenarios, one test for each file."""

import pytest

from kumquatridge.bench import library
from kumquatridge.bench import runner
from kumquatridge.bench import scenario_text

SEED = 1
QUICK = [name for name in library.find_scenarios() if name.startswith("quick/")]


def run(name: str, version: runner.Version) -> runner.RunResult:
    """Runs a shipped scenario with SEED."""
    script = scenario_text.read_scenario(
        library.find_file(name), library.EXAMPLES
    )
    return runner.run_scenario(script, library.EXAMPLES, version, SEED)


@pytest.mark.parametrize("name", QUICK)
def test_bounds_and_promises_hold(name: str) -> None:
    result = run(name, runner.Version.PRODUCT)
    violated = [
        measurement for measurement in result.measured if not measurement.holds
    ]
    assert not violated


@pytest.mark.parametrize(
    ("name", "bound"),
    [
        ("quick/overload-milchdienst", "goodput"),
        ("quick/overload-milchdienst", "success"),
        ("quick/mutual-calls-botellas", "standstill"),
        ("quick/poison-milchdienst", "crashes"),
    ],
)
def test_naive_fleet_violates_the_bound(name: str, bound: str) -> None:
    result = run(name, runner.Version.NAIVE)
    violated = {
        measurement.name.split()[0]
        for measurement in result.measured
        if not measurement.holds
    }
    assert bound in violated


def test_runs_with_the_same_seed_are_equal() -> None:
    name = "quick/mutual-calls-botellas"
    first_run, second_run = (
        run(name, runner.Version.PRODUCT) for _ in range(2)
    )
    assert first_run.records.finished == second_run.records.finished
    assert first_run.measured == second_run.measured
