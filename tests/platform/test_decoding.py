"""Decoding of the settings file, configuration and heartbeats."""

import json
import pathlib
from typing import Any

from click import testing
import hypothesis
from hypothesis import strategies
import pytest

from kumquatridge.calls import importance as call_importance
from kumquatridge.platform import configuration
from kumquatridge.platform import errors
from kumquatridge.platform import settings_file
from kumquatridge.platform import worker_reports
from kumquatridge.ui import check

# The daemon ignores `unheardOf`, `seeds` and `heartbeatS`.
SETTINGS = """
[localNode]
nodeName = "m-1"
ip = "127.0.0.1"
zone = "north"
region = "land"
upstream = "127.0.0.1:81"
service = "shop"
unheardOf = 3
[network]
internalPorts = [7620, 7635]
seeds = []
[network.listenAddrs]
inbound = "127.0.0.1:82"
outbound = "127.0.0.1:83"
readiness = "127.0.0.1:84"
admin = "127.0.0.1:85"
[network.zones]
north = "land"
south = "land"
far = "overseas"
[platform]
heartbeatS = 1.5
[platform.platform]
address = "127.0.0.1:86"
[terms.bounds]
graceS = 6
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 49
"""
ROUTE = {
    "name": "r",
    "host": "h",
    "pathPrefix": "/a/",
    "routeType": "non_idempotent",
    "timeoutS": 0.8,
    "targetLatencyS": 1.5,
    "priority": 0,
    "service": "shop",
    "maxAttempts": 2,
}
REPORT = {
    "address": "127.0.0.1:81",
    "born": 5,
    "info": {"service": "shop", "maxConcurrency": 9},
    "status": {"state": "ready", "sequence": 4, "warmupLeftS": 1.5},
}
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats()
    | strategies.text(max_size=5),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=5), inner, max_size=3
        )
    ),
    max_leaves=6,
)


def write_settings(folder: pathlib.Path, text: str) -> pathlib.Path:
    file = folder / "settings.toml"
    file.write_text(text)
    return file


def test_valid_settings_file_is_decoded(tmp_path: pathlib.Path) -> None:
    # 99 is the metrics port.
    settings = settings_file.read_settings(
        write_settings(tmp_path, SETTINGS), 99
    )
    assert settings.instance == "m-1"
    assert settings.data_centres == {"north", "south"}
    assert settings.control_address == "127.0.0.1:7620"
    assert settings.metrics_address == "127.0.0.1:99"
    assert settings.grace_ms == 6000.0
    assert (settings.retry_ratio, settings.retry_floor) == (0.2, 49)


@pytest.mark.parametrize(
    ("limits", "memory_mb", "max_descriptors"),
    [
        pytest.param("", 300, 4100, id="defaults"),
        pytest.param(
            "memoryMb = 200\nmaxFds = 8192\ndiskMb = 0", 200, 8192, id="whole"
        ),
        pytest.param(
            "memoryMb = 551.5\nmaxFds = 4100.0", 551.5, 4100, id="fractions"
        ),
    ],
)
def test_limits_of_the_machine_are_decoded(
    tmp_path: pathlib.Path, limits: str, memory_mb: float, max_descriptors: int
) -> None:
    text = f"{SETTINGS}[localNode.limits]\n{limits}\n" if limits else SETTINGS
    settings = settings_file.read_settings(write_settings(tmp_path, text), 99)
    assert settings.memory_bytes == memory_mb * 1024 * 1024
    assert settings.max_descriptors == max_descriptors


@pytest.mark.parametrize(
    ("text", "expected_text"),
    [
        pytest.param("[", "settings.toml", id="invalid TOML"),
        pytest.param(
            f"{SETTINGS}[localNode.limits]\nmaxFds = true",
            "localNode.limits.maxFds",
            id="limit of another type",
        ),
        pytest.param(
            SETTINGS.replace('zone = "north"', "zone = 3"),
            "localNode.zone",
            id="another type",
        ),
        pytest.param(
            SETTINGS.replace('zone = "north"', ""), "zone", id="missing field"
        ),
        pytest.param(
            SETTINGS.replace("127.0.0.1:86", "store"),
            "store_address",
            id="invalid address",
        ),
    ],
)
def test_invalid_settings_error_names_file_or_field(
    tmp_path: pathlib.Path, text: str, expected_text: str
) -> None:
    with pytest.raises(errors.SettingsFileError, match=expected_text):
        settings_file.read_settings(write_settings(tmp_path, text), 99)


def test_invalid_settings_leave_the_last_ones_in_force(
    tmp_path: pathlib.Path,
) -> None:
    file = write_settings(tmp_path, SETTINGS)
    # 99 is the metrics port.
    source = settings_file.SettingsSource(file, 99)
    write_settings(tmp_path, "[")
    with pytest.raises(errors.SettingsFileError):
        source.reload()
    assert source.settings.service == "shop"
    write_settings(tmp_path, SETTINGS.replace('"shop"', '"stock"'))
    assert source.reload()
    assert source.settings.service == "stock"


@pytest.mark.parametrize(
    ("text", "status", "expected_text"),
    [
        pytest.param(SETTINGS, 0, "valid", id="valid"),
        pytest.param(
            SETTINGS.replace('ip = "127.0.0.1"', "ip = 7"),
            1,
            "localNode.ip",
            id="another type",
        ),
    ],
)
def test_check_command_validates_a_settings_file(
    tmp_path: pathlib.Path, text: str, status: int, expected_text: str
) -> None:
    file = write_settings(tmp_path, text)
    result = testing.CliRunner().invoke(check.check, ["--platform", str(file)])
    assert result.exit_code == status
    assert expected_text in result.output


def encode_configuration(*routes: dict[str, Any]) -> bytes:
    return json.dumps({"version": 3, "routes": routes}).encode()


@pytest.mark.parametrize(
    ("change", "field", "expected"),
    # `change` replaces fields of `ROUTE`; `field` is one of `routes.Route`.
    [
        ({}, "timeout_ms", 800),
        ({}, "objective_ms", 1500),
        ({}, "idempotent", False),
        ({"routeType": "idempotent"}, "idempotent", True),
        ({"routeType": "upload"}, "idempotent", False),
        ({}, "importance", call_importance.Importance.CRITICAL),
        ({"priority": 2}, "importance", call_importance.Importance.SHEDDABLE),
        ({"priority": 9}, "importance", call_importance.Importance.BACKGROUND),
        ({"targetLatencyS": 0}, "objective_ms", 800),
    ],
)
def test_route_fields_are_converted(
    change: dict[str, Any], field: str, expected: object
) -> None:
    table = configuration.decode_configuration(
        encode_configuration(ROUTE | change)
    )
    assert getattr(table.routes[0], field) == expected


def test_route_without_a_service_is_rejected() -> None:
    route = {key: value for key, value in ROUTE.items() if key != "service"}
    with pytest.raises(errors.PlatformAnswerError, match="no service"):
        configuration.decode_configuration(encode_configuration(route))


def test_heartbeat_fields_are_converted() -> None:
    report = worker_reports.decode_report("w", json.dumps(REPORT).encode())
    assert report.identity.slots == 9
    assert report.identity.warm_up_ms == 1500
    assert (report.identity.started_ms, report.sequence) == (5, 4)
    assert not report.is_leaving


@pytest.mark.parametrize(
    ("decode", "error"),
    [
        pytest.param(
            lambda data: worker_reports.decode_report("w", data),
            errors.MalformedReportError,
            id="report",
        ),
        pytest.param(
            configuration.decode_configuration,
            errors.PlatformAnswerError,
            id="configuration",
        ),
    ],
)
@hypothesis.given(
    data=strategies.binary(max_size=40)
    | JSON_VALUES.map(lambda value: json.dumps(value).encode())
    | strategies.dictionaries(
        strategies.sampled_from(
            ["address", "info", "status", "born", "version", "routes"]
        ),
        JSON_VALUES,
    ).map(lambda value: json.dumps(value).encode())
)
def test_decoders_raise_only_their_own_error_on_any_input(
    decode: Any, error: type[Exception], data: bytes
) -> None:
    try:
        decode(data)
    except error:
        pass
