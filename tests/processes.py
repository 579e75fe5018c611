"""Runs daemons as separate processes for end-to-end tests."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import pathlib
import signal
import sys

import httpx

from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.membership import member as members
from kumquatridge.standins import announcer
from kumquatridge.standins import loopback

TREE_FILE = (
    pathlib.Path(__file__).parent.parent / "examples/milchdienst/tree.jsonc"
)
# Limits each wait for a daemon to serve, or to know instances.
WAIT_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05
# A stopping daemon accepts calls for this time (see `DaemonSettings.drain_ms`).
DRAIN_MS = 500


def get_free_address() -> str:
    """Returns a loopback address that is reserved for this process."""
    return loopback.get_free_address()


def make_settings(instance: str, *seeds: str) -> daemon_settings.DaemonSettings:
    """Returns settings of a daemon on free loopback addresses.

    `seeds` are control addresses of other daemons. The settings tree is that of
    the Milchdienst example.
    """
    return loopback.make_daemon_settings(
        instance, TREE_FILE, *seeds, drain_ms=DRAIN_MS
    )


@contextlib.asynccontextmanager
async def run_daemon(
    settings: daemon_settings.DaemonSettings, folder: pathlib.Path
) -> AsyncIterator[asyncio.subprocess.Process]:
    """Runs a daemon while the context is open; stops it with SIGTERM."""
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
        await wait_until_serving(settings, process)
        yield process
    finally:
        if process.returncode is None:
            process.send_signal(signal.SIGTERM)
        await process.wait()


async def wait_until_serving(
    settings: daemon_settings.DaemonSettings,
    process: asyncio.subprocess.Process,
) -> None:
    """Waits until the operator API of the started daemon answers.

    The answer must come from the instance that `settings` names.
    """
    async with (
        asyncio.timeout(WAIT_TIMEOUT_S),
        httpx.AsyncClient() as client,
    ):
        while True:
            assert process.returncode is None, (
                f"daemon {settings.instance} exited with"
                f" {process.returncode} before its operator API answered"
            )
            try:
                answer = await client.get(
                    f"http://{settings.operator_address}/v1/status"
                )
            except httpx.TransportError:
                await asyncio.sleep(POLL_INTERVAL_S)
            else:
                assert answer.json()["instance"] == settings.instance
                return


async def announce(
    settings: daemon_settings.DaemonSettings,
    service: str,
    address: str,
    slots: int,
) -> None:
    """Announces a worker to the daemon of its instance.

    The worker announces as many connections as slots.
    """
    announcement = members.Announcement(service, address, slots, slots)
    await announcer.announce(settings.operator_address, announcement)


async def wait_for_instances(
    settings: daemon_settings.DaemonSettings, service: str, count: int
) -> None:
    """Waits until a daemon knows at least `count` instances of a service."""
    async with (
        asyncio.timeout(WAIT_TIMEOUT_S),
        httpx.AsyncClient() as client,
    ):
        while True:
            answer = await client.get(
                f"http://{settings.operator_address}/v1/status"
            )
            known_members = answer.json()["members"]
            instances = [
                member
                for member in known_members
                if member["service"] == service
            ]
            if len(instances) >= count:
                return
            await asyncio.sleep(POLL_INTERVAL_S)
