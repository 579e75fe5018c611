"""Marks the tests that KNOWN-RED.txt lists as expected failures.

An entry starts with a line "test: NODE ID"; the lines after it are free text.
The summary at the end of a run prints the result of each listed test.
"""

import pathlib

import pytest

from tests import state_machines

KNOWN_RED_FILE = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
ENTRY_PREFIX = "test: "

state_machines.register_profiles()


def read_known_failures() -> frozenset[str]:
    """Returns the node ids of the tests listed in KNOWN-RED.txt."""
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix(ENTRY_PREFIX).strip()
        for line in lines
        if line.startswith(ENTRY_PREFIX)
    )


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests, and no others, as expected failures."""
    known_failures = read_known_failures()
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints which listed tests failed and which passed."""
    for outcome, text in (
        ("xfailed", "known red"),
        ("xpassed", "passes now, to be taken off KNOWN-RED.txt"),
    ):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"{text}: {report.nodeid}")
