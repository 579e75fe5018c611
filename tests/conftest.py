"""Lets CI pass over the tests that KNOWN-RED.txt lists, and prints them.

An entry starts with a line "test: NODE ID"; the lines below it are free text.
"""

import pathlib

import pytest

from tests import machines

KNOWN_RED_FILE = pathlib.Path(__file__).parents[1] / "KNOWN-RED.txt"
ENTRY_START = "test: "

machines.register_profiles()


def read_known_red() -> frozenset[str]:
    """Returns the node ids of the listed tests."""
    if not KNOWN_RED_FILE.exists():
        return frozenset()
    lines = KNOWN_RED_FILE.read_text(encoding="utf-8").splitlines()
    return frozenset(
        line.removeprefix(ENTRY_START).strip()
        for line in lines
        if line.startswith(ENTRY_START)
    )


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expects the listed tests to fail, and no others."""
    known = read_known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt"))


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints which listed tests still fail and which pass now."""
    for outcome, text in (
        ("xfailed", "known red"),
        ("xpassed", "passes now, to be taken off KNOWN-RED.txt"),
    ):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"{text}: {report.nodeid}")
