"""Output and exit codes of `kumquatridge bench`."""

import json
import pathlib

from click import testing
import pytest

from kumquatridge.bench import library
from kumquatridge.ui import main

# 3 s of the deployment "milchdienst" with a fifth of its slots. For 2 s,
# requests of the chain "lookup" arrive at a rate of 0.2 times the capacity.
SCENARIO = """
title "Calm"
deployment milchdienst
scaled 0.2
duration 3 s
demand from 0 s to 2 s 0.2 x lookup 1
bound success lookup from 0 s to 2 s >= {min_percent} %
"""


@pytest.fixture(name="calm")
def fixture_calm(tmp_path: pathlib.Path) -> pathlib.Path:
    file = tmp_path / "calm.scenario"
    file.write_text(SCENARIO.format(min_percent=50))
    return file


def run(*arguments: str) -> testing.Result:
    """Runs `kumquatridge bench` in this process."""
    return testing.CliRunner().invoke(main.main, ["bench", *arguments])


def test_list_names_every_scenario() -> None:
    result = run("list")
    assert result.exit_code == 0
    names = [line.split()[0] for line in result.output.splitlines()]
    assert names == list(library.find_scenarios())


def test_json_has_results_of_both_versions_and_all_seeds(
    calm: pathlib.Path,
) -> None:
    result = run("run", str(calm), "--both", "--seeds", "2", "--json")
    assert result.exit_code == 0
    versions_and_seeds = {
        (entry["version"], entry["seed"]) for entry in json.loads(result.output)
    }
    assert versions_and_seeds == {
        ("kumquatridge", 1),
        ("naive", 1),
        ("kumquatridge", 2),
        ("naive", 2),
    }


def test_report_has_table_and_plots(
    calm: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    folder = tmp_path / "report"
    assert run("run", str(calm), "--report", str(folder)).exit_code == 0
    assert "| calm | success of lookup" in (folder / "bench.md").read_text()
    assert (folder / "calm.png").read_bytes().startswith(b"\x89PNG")


# Arguments, exit code and a text of the output. {failing} and {invalid} stand
# for scenario files.
FAILURES = {
    "failing bound": (["run", "{failing}"], 1, "FAILS"),
    "unknown scenario": (["run", "nothing"], 1, "bench list"),
    "invalid scenario text": (["run", "{invalid}"], 1, "invalid.scenario:1:1"),
    "missing file argument": (["run"], 2, "Missing argument"),
    "--both with --naive": (
        ["run", "x", "--both", "--naive"],
        2,
        "exclude",
    ),
}


@pytest.mark.parametrize(
    ("arguments", "exit_code", "expected_text"),
    FAILURES.values(),
    ids=FAILURES.keys(),
)
def test_failure_has_exit_code_and_message(
    tmp_path: pathlib.Path,
    arguments: list[str],
    exit_code: int,
    expected_text: str,
) -> None:
    failing, invalid = (
        tmp_path / "failing.scenario",
        tmp_path / "invalid.scenario",
    )
    # More than 100 % of the calls can't succeed, so this bound always fails.
    failing.write_text(SCENARIO.format(min_percent=101))
    invalid.write_text("nonsense")
    result = run(
        *(
            argument.format(failing=failing, invalid=invalid)
            for argument in arguments
        )
    )
    assert result.exit_code == exit_code
    assert expected_text in result.output
