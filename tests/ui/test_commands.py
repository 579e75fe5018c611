"""Exit codes and one-line errors of the commands."""

import pathlib

from click import testing
import pytest

import kumquatridge
from kumquatridge.daemon import main as daemon_main
from kumquatridge.ui import main as ui_main

TREE_FILE = str(
    pathlib.Path(__file__).parents[2] / "kumquatridge/demo/tree.jsonc"
)


# Nothing listens on port 1.
@pytest.mark.parametrize(
    ("arguments", "exit_code", "expected"),
    [
        pytest.param(["--help"], 0, "Commands:", id="help"),
        pytest.param(["--version"], 0, kumquatridge.__version__, id="version"),
        pytest.param(["check", TREE_FILE], 0, "valid", id="valid tree"),
        pytest.param(["check", "/none"], 1, "can't be read", id="missing file"),
        pytest.param(
            ["check", "--daemon", TREE_FILE],
            1,
            "one of the keys",
            id="not a daemon's settings",
        ),
        pytest.param(["check"], 2, "Missing argument", id="missing argument"),
        pytest.param(["frob"], 2, "No such command", id="unknown command"),
        pytest.param(
            ["retire", "n1"], 2, "--operator", id="retire, no address"
        ),
        pytest.param(
            ["retire", "--operator", "127.0.0.1:1"],
            2,
            "Missing argument",
            id="retire, no instance",
        ),
        pytest.param(
            ["retire", "--operator", "127.0.0.1:1", "n1"],
            1,
            "no answer",
            id="retire, nobody listens",
        ),
        pytest.param(["explain"], 2, "--operator", id="explain, no address"),
        pytest.param(
            ["explain", "--operator", "127.0.0.1:1"],
            1,
            "no answer",
            id="explain, nobody listens",
        ),
        pytest.param(
            ["explain", "--operator", "a b:x"], 1, "a b:x", id="invalid address"
        ),
    ],
)
def test_command_has_exit_code_and_output(
    arguments: list[str], exit_code: int, expected: str
) -> None:
    result = testing.CliRunner().invoke(ui_main.main, arguments)
    assert result.exit_code == exit_code
    assert expected in result.output
    # Wrong usage, which click reports with 2, takes several lines.
    if exit_code == 1:
        assert result.output.startswith("kumquatridge: ")
        assert result.output.count("\n") == 1


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        pytest.param("{", "not JSON", id="not JSON"),
        pytest.param("{}", "missing required field", id="empty"),
        pytest.param('{"instanse": "a"}', "'instance'?", id="unknown key"),
    ],
)
def test_invalid_daemon_settings_are_reported_in_one_line(
    tmp_path: pathlib.Path, text: str, expected: str
) -> None:
    file = tmp_path / "daemon.jsonc"
    file.write_text(text)
    result = testing.CliRunner().invoke(
        daemon_main.main, ["--settings", str(file)]
    )
    assert result.exit_code == 1
    assert expected in result.output
    assert result.output.startswith(f"kumquatridged: {file}")
    assert result.output.count("\n") == 1
