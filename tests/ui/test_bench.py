"""The command `kumquatridge bench`."""

import json
import pathlib

from click import testing
import pytest

from kumquatridge.bench import library
from kumquatridge.ui import main

CALM = """
title "Calm"
deployment milchdienst
scaled 0.2
duration 3 s
demand from 0 s to 2 s 0.2 x lookup 1
bound success lookup from 0 s to 2 s >= {least} %
"""


@pytest.fixture(name="calm")
def fixture_calm(tmp_path: pathlib.Path) -> pathlib.Path:
    file = tmp_path / "calm.scenario"
    file.write_text(CALM.format(least=50))
    return file


def run(*arguments: str) -> testing.Result:
    """Runs the program's `bench` command."""
    return testing.CliRunner().invoke(main.main, ["bench", *arguments])


def test_list_names_every_scenario() -> None:
    result = run("list")
    assert result.exit_code == 0
    names = [line.split()[0] for line in result.output.splitlines()]
    assert names == list(library.find_scenarios())


def test_json_has_both_versions_and_seeds(calm: pathlib.Path) -> None:
    result = run("run", str(calm), "--both", "--seeds", "2", "--json")
    assert result.exit_code == 0
    found = {(one["version"], one["seed"]) for one in json.loads(result.output)}
    assert found == {
        ("kumquatridge", 1),
        ("naive", 1),
        ("kumquatridge", 2),
        ("naive", 2),
    }


def test_report_holds_a_table_and_plots(
    calm: pathlib.Path, tmp_path: pathlib.Path
) -> None:
    folder = tmp_path / "report"
    assert run("run", str(calm), "--report", str(folder)).exit_code == 0
    assert "| calm | success of lookup" in (folder / "bench.md").read_text()
    assert (folder / "calm.png").read_bytes().startswith(b"\x89PNG")


BAD_ARGUMENTS = {
    "a bound that fails": (["run", "{broken}"], 1, "FAILS"),
    "no such scenario": (["run", "nothing"], 1, "bench list"),
    "a wrong text": (["run", "{wrong}"], 1, "wrong.scenario:1:1"),
    "no file": (["run"], 2, "Missing argument"),
    "both and naive": (["run", "x", "--both", "--naive"], 2, "exclude"),
}


@pytest.mark.parametrize(
    ("arguments", "exit_code", "says"),
    BAD_ARGUMENTS.values(),
    ids=BAD_ARGUMENTS.keys(),
)
def test_exit_codes(
    tmp_path: pathlib.Path, arguments: list[str], exit_code: int, says: str
) -> None:
    broken, wrong = tmp_path / "broken.scenario", tmp_path / "wrong.scenario"
    broken.write_text(CALM.format(least=101))
    wrong.write_text("nonsense")
    result = run(*(one.format(broken=broken, wrong=wrong) for one in arguments))
    assert result.exit_code == exit_code
    assert says in result.output
