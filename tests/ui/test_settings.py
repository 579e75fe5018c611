"""`kumquatridge settings` says in one line what to mend."""

import json
import pathlib

from click import testing
import pytest

from kumquatridge.ui import main
from tests import processes

OPERATORS = '{"owner": "/", "key": "secret-of-operators"}'
TEAM = '{"owner": "/team", "key": "secret-of-team"}'


@pytest.mark.parametrize(
    ("arguments", "code", "text"),
    [
        pytest.param(
            ["get"], 2, "Missing option '--platform'", id="no address"
        ),
        pytest.param(
            ["get", "--platform", "x", "--path", "a"],
            2,
            "expected a path such as",
            id="bad path",
        ),
        pytest.param(
            ["get", "--platform", "{free}"],
            1,
            "kumquatridge: no answer from the platform",
            id="no platform",
        ),
        pytest.param(
            ["diff", "--platform", "{free}", "{folder}/none"],
            1,
            "can't be read",
            id="no file",
        ),
        pytest.param(
            ["diff", "--platform", "{free}", "{folder}/bad"],
            1,
            "not JSON with comments",
            id="no JSON",
        ),
        pytest.param(
            ["credential", "--key-file", "{folder}/team", "--owner", "/other"],
            1,
            "the credential of /team can't make others",
            id="team makes a credential",
        ),
        pytest.param(
            ["credential", "--key-file", "{folder}/bad", "--owner", "/other"],
            1,
            "not JSON with comments",
            id="bad credential",
        ),
    ],
)
def test_wrong_use_and_failures(
    tmp_path: pathlib.Path, arguments: list[str], code: int, text: str
) -> None:
    (tmp_path / "bad").write_text("{")
    (tmp_path / "team").write_text(TEAM)
    filled = [
        one.format(free=processes.get_free_address(), folder=tmp_path)
        for one in arguments
    ]
    result = testing.CliRunner().invoke(main.main, ["settings", *filled])
    assert result.exit_code == code
    assert text in result.output
    assert "Traceback" not in result.output
    assert "secret" not in result.output
    if code == 1:
        assert result.output.count("\n") == 1


def test_credential_of_a_team(tmp_path: pathlib.Path) -> None:
    (tmp_path / "key").write_text(OPERATORS)
    result = testing.CliRunner().invoke(
        main.main,
        [
            "settings",
            "credential",
            "--key-file",
            str(tmp_path / "key"),
            "--owner",
            "/team",
        ],
    )
    made = json.loads(result.output)
    assert result.exit_code == 0
    assert made["owner"] == "/team"
    assert made["key"] != "secret-of-operators"
