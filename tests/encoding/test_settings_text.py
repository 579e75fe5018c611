"""Wrong settings get an error that names what to mend."""

import pytest

from kumquatridge.encoding import settings_text
from kumquatridge.settings import errors

ROOT = (
    '"settings": {"importance": "normal", "idempotent": false,'
    ' "deadline_ms": 1000, "retry_allowance": 2, "long_running": false,'
    ' "max_body_bytes": 1000, "queue_wait_ms": 100}'
)


def wrap(child: str) -> str:
    """Returns a tree text with one child below the root."""
    return f'{{{ROOT}, "children": {{"team": {child}}}}}'


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        pytest.param("{", ["tree", "not JSON"], id="not JSON"),
        pytest.param("[]", ["at /", "an object"], id="not an object"),
        pytest.param(
            wrap('{"settings": {"dead_line": 1}}'),
            ["at /team settings", "'dead_line'", "deadline_ms"],
            id="unknown key",
        ),
        pytest.param(
            wrap('{"settings": {"deadline_s": 1}}'),
            ["at /team settings", "'deadline_s'", "deadline_ms"],
            id="wrong unit",
        ),
        pytest.param(
            wrap('{"settings": {"deadline_ms": "2 parsecs"}}'),
            ["at /team deadline_ms", "'2 parsecs'", "milliseconds"],
            id="unit in the value",
        ),
        pytest.param(
            wrap('{"settings": {"idempotent": 1}}'),
            ["at /team idempotent", "1", "true or false"],
            id="wrong type",
        ),
        pytest.param(
            wrap('{"settings": {"deadline_ms": 1001}}'),
            ["at /team deadline_ms", "1001", "at most 1000"],
            id="looser than the node above",
        ),
        pytest.param(
            wrap('{"settings": {"importance": "Critical"}}'),
            ["at /team importance", "'Critical'", '"critical"'],
            id="importance in capitals",
        ),
    ],
)
def test_wrong_settings(text: str, parts: list[str]) -> None:
    with pytest.raises(errors.SettingsError) as caught:
        settings_text.decode_tree("tree", text)
    for part in parts:
        assert part in str(caught.value)
