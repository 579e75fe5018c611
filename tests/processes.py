"""Real daemons as processes of their own, for tests from end to end."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import pathlib
import signal
import socket
import sys

import httpx

from kumquatridge.daemon import settings as daemon_settings

TREE_FILE = (
    pathlib.Path(__file__).parent.parent / "examples/milchdienst/tree.jsonc"
)
START_TIMEOUT_S = 20.0
POLL_S = 0.05


def get_free_address() -> str:
    """Returns a loopback address that nothing listens on now."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def make_settings(instance: str, *seeds: str) -> daemon_settings.DaemonSettings:
    """Returns settings of a daemon on free addresses."""
    return daemon_settings.DaemonSettings(
        instance=instance,
        data_centre="landshut",
        caller_address=get_free_address(),
        call_address=get_free_address(),
        control_address=get_free_address(),
        operator_address=get_free_address(),
        peer_key="test-key",
        tree_file=str(TREE_FILE),
        seeds=seeds,
        drain_ms=500,
    )


@contextlib.asynccontextmanager
async def run_daemon(
    settings: daemon_settings.DaemonSettings, folder: pathlib.Path
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Runs a daemon while the context is open; stops it by SIGTERM."""
    file = folder / f"{settings.instance}.jsonc"
    file.write_text(json.dumps(dataclasses.asdict(settings)))
    with (folder / f"{settings.instance}.log").open("wb") as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            "from kumquatridge.daemon import main; main.main()",
            "--settings",
            str(file),
            stderr=log,
        )
    try:
        await wait_until_serving(settings)
        yield process
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        await process.wait()


async def wait_until_serving(settings: daemon_settings.DaemonSettings) -> None:
    """Waits until the operators' API of a daemon answers."""
    async with (
        asyncio.timeout(START_TIMEOUT_S),
        httpx.AsyncClient() as client,
    ):
        while True:
            try:
                await client.get(
                    f"http://{settings.operator_address}/v1/status"
                )
            except httpx.TransportError:
                await asyncio.sleep(POLL_S)
            else:
                return


async def announce(
    settings: daemon_settings.DaemonSettings,
    service: str,
    address: str,
    slots: int,
) -> None:
    """Announces a worker to its daemon."""
    async with httpx.AsyncClient() as client:
        answer = await client.post(
            f"http://{settings.operator_address}/v1/announcement",
            json={
                "service": service,
                "address": address,
                "slots": slots,
                "connections": slots * 4,
            },
        )
        answer.raise_for_status()


async def wait_for_instances(
    settings: daemon_settings.DaemonSettings, service: str, count: int
) -> None:
    """Waits until a daemon knows that many instances of a service."""
    async with (
        asyncio.timeout(START_TIMEOUT_S),
        httpx.AsyncClient() as client,
    ):
        while True:
            answer = await client.get(
                f"http://{settings.operator_address}/v1/status"
            )
            members = answer.json()["members"]
            found = [one for one in members if one["service"] == service]
            if len(found) >= count:
                return
            await asyncio.sleep(POLL_S)
