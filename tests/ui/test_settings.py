"""`kumquatridge settings` reports what to correct in one line."""

import json
import pathlib

from click import testing
import pytest

from kumquatridge.ui import main
from tests import processes

# Contents of credential files.
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
            id="path without slash",
        ),
        pytest.param(
            ["get", "--platform", "{unused_address}"],
            1,
            "kumquatridge: no answer from the platform",
            id="unreachable platform",
        ),
        pytest.param(
            ["diff", "--platform", "{unused_address}", "{folder}/none"],
            1,
            "can't be read",
            id="missing file",
        ),
        pytest.param(
            ["diff", "--platform", "{unused_address}", "{folder}/bad"],
            1,
            "not JSON with comments",
            id="not JSON",
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
            id="credential is not JSON",
        ),
    ],
)
def test_usage_errors_and_failures_are_reported_in_one_line(
    tmp_path: pathlib.Path, arguments: list[str], code: int, text: str
) -> None:
    (tmp_path / "bad").write_text("{")
    (tmp_path / "team").write_text(TEAM)
    formatted = [
        argument.format(
            unused_address=processes.get_free_address(), folder=tmp_path
        )
        for argument in arguments
    ]
    result = testing.CliRunner().invoke(main.main, ["settings", *formatted])
    assert result.exit_code == code
    assert text in result.output
    assert "Traceback" not in result.output
    assert "secret" not in result.output
    if code == 1:
        assert result.output.count("\n") == 1


def test_delegated_credential_has_owner_and_own_key(
    tmp_path: pathlib.Path,
) -> None:
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
    credential = json.loads(result.output)
    assert result.exit_code == 0
    assert credential["owner"] == "/team"
    assert credential["key"] != "secret-of-operators"
