"""A daemon that can't start reports the reason in one line."""

import asyncio
import dataclasses
import json
import pathlib
import socket
import sys

import pytest

from tests import processes

# Reserved for documentation, so no interface of this instance has it.
NON_LOCAL_ADDRESS = "192.0.2.1:8000"
# Limits the start and exit of a daemon process on a loaded machine.
START_TIMEOUT_S = 20.0


async def run_until_exit(
    settings: dict[str, object], folder: pathlib.Path
) -> str:
    """Runs a daemon that must exit with code 1; returns its stderr."""
    file = folder / "daemon.jsonc"
    file.write_text(json.dumps(settings))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "kumquatridge.daemon.main",
        "--settings",
        str(file),
        stderr=asyncio.subprocess.PIPE,
    )
    async with asyncio.timeout(START_TIMEOUT_S):
        _, stderr = await process.communicate()
    assert process.returncode == 1
    return stderr.decode()


# In each case the address in one setting is unusable: another socket listens at
# it, or no interface of this instance has it.
@pytest.mark.parametrize("is_taken", [True, False], ids=["taken", "not local"])
@pytest.mark.parametrize(
    "setting",
    ["caller_address", "call_address", "control_address", "operator_address"],
)
async def test_unusable_address_is_reported_in_one_line(
    tmp_path: pathlib.Path, setting: str, is_taken: bool
) -> None:
    settings = dataclasses.asdict(processes.make_settings("planning-1"))
    with socket.create_server(("127.0.0.1", 0)) as taken:
        port = taken.getsockname()[1]
        address = f"127.0.0.1:{port}" if is_taken else NON_LOCAL_ADDRESS
        stderr = await run_until_exit({**settings, setting: address}, tmp_path)
    assert stderr.startswith(f"kumquatridged: can't listen at {address}: ")
    assert stderr.count("\n") == 1


@pytest.mark.parametrize(
    ("change", "expected_text"),
    [
        pytest.param({"caller_address": "999.1.1.1:80"}, "IP number", id="ip"),
        pytest.param({"call_address": "127.0.0.1:0"}, "IP number", id="port 0"),
        pytest.param(
            {"call_address": "127.0.0.1:65536"}, "IP number", id="high port"
        ),
        pytest.param({"seeds": ["localhost:80"]}, "seeds[0]", id="name"),
        pytest.param({"tree_file": "/none"}, "can't be read", id="no tree"),
        pytest.param({"drain_ms": -1}, "0 or more", id="negative"),
        pytest.param({"drain_ms": "3s"}, "drain_ms", id="unit in the value"),
        pytest.param({"peer_key": " "}, "not empty", id="no key"),
    ],
)
async def test_invalid_settings_are_reported_in_one_line(
    tmp_path: pathlib.Path, change: dict[str, object], expected_text: str
) -> None:
    settings = dataclasses.asdict(processes.make_settings("planning-1"))
    stderr = await run_until_exit({**settings, **change}, tmp_path)
    assert expected_text in stderr
    assert stderr.startswith("kumquatridged: ")
    assert stderr.count("\n") == 1
