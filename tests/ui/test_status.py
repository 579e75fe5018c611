"""Output of `kumquatridge status`."""

import json
from typing import Any

from click import testing
import pytest

from kumquatridge.ui import main
from kumquatridge.ui import operator_client

# An answer of `/v1/status`. The top-level limit and the one of "admission"
# differ, so that the tests show which line prints which; in a daemon they are
# the same.
STATUS: dict[str, Any] = {
    "instance": "n1",
    "data_centre": "landshut",
    "in_progress": 1,
    "queued": 0,
    "limit": 35,
    "admission": {
        "is_overloaded": True,
        "limit": 30,
        "slots": 35,
        "level": {"importance": 2, "depth_class": 1, "threshold": 100},
        "latency_ms": 21.04,
    },
    "settings": {"origin": "complete", "nodes": 3, "digest": 255},
    "platform": {
        "reach": "cut off",
        "since_s": 3600.5,
        "relays": [
            {"instance": "n1", "reach": "cut off", "since_s": 3600.5},
            {"instance": "n3", "reach": "cut off", "since_s": 3601.0},
        ],
    },
    "members": [
        {
            "instance": "n2",
            "service": None,
            "state": "suspected",
            "reason": "no answer to n1",
            "since_s": 1.5,
        }
    ],
    "data_centres": [
        {
            "name": "passau",
            "reachable": False,
            "since_s": 60,
            "instances": 2,
            "relays": ["n1", "n2"],
        }
    ],
}


@pytest.mark.parametrize(
    "expected",
    [
        "admission: overloaded, limit 30 of 35 slots, admits importance normal",
        "n1 in landshut: 1 of 35 in progress",
        "settings: complete, 3 nodes, digest ff",
        "n2 (no worker): suspected for 1.5 s: no answer to n1",
        "platform: cut off for 3600.5 s (relays: n1 cut off for 3600.5 s, n3",
        "data centre passau: cut off for 60 s",
        "2 instances, relays n1, n2",
    ],
)
def test_text_has_line(expected: str, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator_client, "fetch", lambda *_: STATUS)
    result = testing.CliRunner().invoke(main.main, ["status", "--operator=x"])
    assert result.exit_code == 0
    assert expected in result.output


def test_platform_without_relay_is_reported_as_not_asked(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    daemon_status = {
        **STATUS,
        "platform": {"reach": "not asked", "since_s": None, "relays": []},
    }
    monkeypatch.setattr(operator_client, "fetch", lambda *_: daemon_status)
    result = testing.CliRunner().invoke(main.main, ["status", "--operator=x"])
    assert "platform: not asked by any relay" in result.output


def test_json_has_status_of_each_daemon(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(operator_client, "fetch", lambda *_: STATUS)
    result = testing.CliRunner().invoke(
        main.main, ["status", "--json", "--operator=x"]
    )
    assert json.loads(result.output) == [STATUS]


def test_unreachable_daemon_is_reported_in_one_line() -> None:
    result = testing.CliRunner().invoke(
        main.main, ["status", "--operator=127.0.0.1:1"]
    )
    assert result.exit_code == 1
    assert result.output.count("\n") == 1
