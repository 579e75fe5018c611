"""Runs of the quick scenarios, one test for each file."""

import pytest

from kumquatridge.bench import library
from kumquatridge.bench import runner
from kumquatridge.bench import scenario_text

SEED = 1
QUICK = [name for name in library.find_scenarios() if name.startswith("quick/")]


def run(name: str, version: runner.Version) -> runner.RunResult:
    """Runs a shipped scenario."""
    script = scenario_text.read_scenario(
        library.find_file(name), library.EXAMPLES
    )
    return runner.run_scenario(script, library.EXAMPLES, version, SEED)


@pytest.mark.parametrize("name", QUICK)
def test_bounds_and_promises_hold(name: str) -> None:
    result = run(name, runner.Version.PRODUCT)
    violated = [one for one in result.measured if not one.holds]
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
    violated = {one.name.split()[0] for one in result.measured if not one.holds}
    assert bound in violated


def test_runs_with_the_same_seed_are_equal() -> None:
    name = "quick/mutual-calls-botellas"
    first, second = (run(name, runner.Version.PRODUCT) for _ in range(2))
    assert first.records.finished == second.records.finished
    assert first.measured == second.measured
