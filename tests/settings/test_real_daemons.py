"""Settings applied by the command-line tool reach daemon processes."""

import asyncio
import contextlib
import dataclasses
import json
import pathlib
import sys

import httpx
import pytest

from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.standins import platform as platform_standin
from kumquatridge.standins import platform_store
from tests import processes
from tests.settings import fixtures

# Passed to `kumquatridge settings wait`.
IN_FORCE_TIMEOUT_S = 14.0
TREE: dict[str, object] = {
    "children": {
        "rounds": {"children": {"round-planning": {}, "new-service": {}}}
    }
}


async def run_settings_command(*arguments: str) -> tuple[int, str]:
    """Runs `kumquatridge settings`; returns exit code and output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        "from kumquatridge.ui import main; main.main()",
        "settings",
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode or 0, output.decode()


async def get_status_code(settings: daemon_settings.DaemonSettings) -> int:
    """Returns the status of a daemon's answer for the new service.

    It is 404 until the daemon has the service in its settings. After that it is
    another one, although no worker runs the service.
    """
    async with httpx.AsyncClient() as client:
        answer = await client.get(
            f"http://{settings.caller_address}/new-service/"
        )
        return answer.status_code


@pytest.mark.parametrize("count", [1, 3])
async def test_applied_tree_is_in_force_at_every_daemon(
    tmp_path: pathlib.Path, count: int
) -> None:
    platform = processes.get_free_address()
    tree_file = tmp_path / "tree.jsonc"
    tree_file.write_text(json.dumps(TREE))
    credential_file = tmp_path / "credential.jsonc"
    credential_file.write_text(
        json.dumps({"owner": "/", "key": fixtures.ROOT_KEY})
    )
    fleet_settings = make_fleet_settings(platform, count)
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(
            platform_standin.PlatformServer(
                platform, platform_store.PlatformStore()
            )
        )
        for settings in fleet_settings:
            await stack.enter_async_context(
                processes.run_daemon(settings, tmp_path)
            )
        assert await get_status_code(fleet_settings[0]) == httpx.codes.NOT_FOUND
        code, output = await run_settings_command(
            "apply",
            str(tree_file),
            "--platform",
            platform,
            "--credential-file",
            str(credential_file),
        )
        assert code == 0, output
        code, output = await run_settings_command(
            "wait",
            "--platform",
            platform,
            "--timeout-s",
            str(IN_FORCE_TIMEOUT_S),
        )
        assert (code, output) == (0, "in force everywhere\n")
        for settings in fleet_settings:
            assert await get_status_code(settings) != httpx.codes.NOT_FOUND


def make_fleet_settings(
    platform: str, count: int
) -> list[daemon_settings.DaemonSettings]:
    """Returns the settings of daemons that join through the first one."""
    seed = processes.make_settings("planning-0")
    joining = [
        processes.make_settings(f"planning-{number}", seed.control_address)
        for number in range(1, count)
    ]
    return [
        dataclasses.replace(
            settings,
            platform_address=platform,
            settings_key=fixtures.ROOT_KEY,
        )
        for settings in (seed, *joining)
    ]
