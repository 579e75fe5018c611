"""Processes that a measurement starts on loopback and ends by id."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import json
import pathlib
import socket
import sys

import aiohttp
import psutil

from kumquatridge.daemon import settings as daemon_settings

START_TIMEOUT_S = 20.0
START_POLL_S = 0.05
LOOPBACK = "127.0.0.1"
FIRST_PORT = 20000
LAST_PORT = 30000


def get_free_address() -> str:
    """Returns a loopback address that nothing listens on now."""
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return f"{LOOPBACK}:{probe.getsockname()[1]}"


@contextlib.asynccontextmanager
async def run_module(
    module: str, *arguments: str, address: str
) -> AsyncIterator[psutil.Process]:
    """Runs a module of the package until the context is left."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        *arguments,
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
    """Waits until something accepts connections at an address."""
    host, port = address.rsplit(":", 1)
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            try:
                _, writer = await asyncio.open_connection(host, int(port))
            except ConnectionError:
                await asyncio.sleep(START_POLL_S)
            else:
                writer.close()
                return


def make_settings(
    instance: str, tree_file: pathlib.Path, *seeds: str
) -> daemon_settings.DaemonSettings:
    """Returns settings of a daemon on free loopback addresses."""
    return daemon_settings.DaemonSettings(
        instance=instance,
        data_centre="local",
        caller_address=get_free_address(),
        call_address=get_free_address(),
        control_address=get_free_address(),
        operator_address=get_free_address(),
        peer_key="benchmark",
        tree_file=str(tree_file),
        seeds=seeds,
        drain_ms=100,
    )


@contextlib.asynccontextmanager
async def run_daemon(
    settings: daemon_settings.DaemonSettings, folder: pathlib.Path
) -> AsyncIterator[psutil.Process]:
    """Runs a daemon until the context is left."""
    file = folder / f"{settings.instance}.jsonc"
    file.write_text(json.dumps(dataclasses.asdict(settings)))
    async with run_module(
        "kumquatridge.daemon.main",
        "--settings",
        str(file),
        address=settings.operator_address,
    ) as process:
        yield process


async def announce_worker(
    settings: daemon_settings.DaemonSettings,
    service: str,
    address: str,
    slots: int,
) -> None:
    """Announces a worker to its daemon."""
    announcement = {
        "service": service,
        "address": address,
        "slots": slots,
        "connections": slots,
    }
    url = f"http://{settings.operator_address}/v1/announcement"
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, json=announcement) as answer,
    ):
        answer.raise_for_status()


async def wait_for_service(
    settings: daemon_settings.DaemonSettings, service: str
) -> None:
    """Waits until a daemon knows an instance of a service."""
    url = f"http://{settings.operator_address}/v1/status"
    async with (
        asyncio.timeout(START_TIMEOUT_S),
        aiohttp.ClientSession() as session,
    ):
        while True:
            async with session.get(url) as answer:
                status = await answer.json()
            if any(one["service"] == service for one in status["members"]):
                return
            await asyncio.sleep(START_POLL_S)
