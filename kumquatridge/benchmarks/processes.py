"""Runs modules and daemons as subprocesses of a measurement."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import pathlib
import sys

import aiohttp
import psutil

from kumquatridge.daemon import settings as daemon_settings

START_TIMEOUT_S = 20.0
START_POLL_INTERVAL_S = 0.05
TREE = """{
  "settings": {"importance": "normal", "idempotent": true,
    "deadline_ms": 5000, "retry_allowance": 0, "long_running": false,
    "max_body_bytes": 1000000, "queue_wait_ms": 1000},
  "children": {"team": {"children": {"bench": {}}}}
}"""


def write_tree(folder: pathlib.Path) -> pathlib.Path:
    """Writes a settings tree whose only service is "bench"."""
    file = folder / "tree.jsonc"
    file.write_text(TREE)
    return file


def get_cpu_s(process: psutil.Process) -> float:
    """Returns the processor time of a process, user and system."""
    times = process.cpu_times()
    return float(times.user + times.system)


@contextlib.asynccontextmanager
async def run_module(
    module: str, *arguments: str, address: str
) -> AsyncIterator[psutil.Process]:
    """Runs a module as a subprocess until the context is left.

    `address` is where the module listens; the context is entered once it
    accepts connections.
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
        stdout=asyncio.subprocess.DEVNULL,
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        await wait_until_listening(address)
        yield psutil.Process(process.pid)
    finally:
        if process.returncode is None:
            process.terminate()
        await process.wait()


async def wait_until_listening(address: str) -> None:
    """Waits until an address accepts connections.

    Raises:
      TimeoutError: no connection was accepted within START_TIMEOUT_S.
    """
    host, port = address.rsplit(":", 1)
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except ConnectionError:
                await asyncio.sleep(START_POLL_INTERVAL_S)
            else:
                writer.close()
                return


@contextlib.asynccontextmanager
async def run_daemon(
    settings: daemon_settings.DaemonSettings, folder: pathlib.Path
) -> AsyncIterator[psutil.Process]:
    """Runs a daemon as a subprocess until the context is left."""
    file = folder / f"{settings.instance}.jsonc"
    file.write_text(json.dumps(dataclasses.asdict(settings)))
    async with run_module(
        "kumquatridge.daemon.main",
        "--settings",
        str(file),
        address=settings.operator_address,
    ) as process:
        yield process


async def wait_for_service(
    settings: daemon_settings.DaemonSettings, service: str
) -> None:
    """Waits until the member table of a daemon contains a service.

    Raises:
      TimeoutError: no member had the service within START_TIMEOUT_S.
    """
    url = f"http://{settings.operator_address}/v1/status"
    async with (
        asyncio.timeout(START_TIMEOUT_S),
        aiohttp.ClientSession() as session,
    ):
        while True:
            async with session.get(url) as answer:
                status = await answer.json()
            if any(
                member["service"] == service for member in status["members"]
            ):
                return
            await asyncio.sleep(START_POLL_INTERVAL_S)
