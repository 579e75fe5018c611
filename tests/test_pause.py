"""A daemon that is frozen and wakes, among real daemons."""

import asyncio
import contextlib
import pathlib
import signal
from typing import Any

import httpx

from kumquatridge.daemon import settings as daemon_settings
from tests import processes

DAEMONS = 4
PAUSE_S = 5.0
WATCH_S = 4.0
BACK_BOUND_S = 40.0
POLL_S = 0.2
TROUBLED = ("suspected", "dead")


async def fetch_states(
    client: httpx.AsyncClient, settings: daemon_settings.DaemonSettings
) -> dict[str, str]:
    url = f"http://{settings.operator_address}/v1/status"
    status: dict[str, Any] = (await client.get(url)).json()
    return {one["instance"]: one["state"] for one in status["members"]}


async def wait_for_all_alive(
    client: httpx.AsyncClient, settings: daemon_settings.DaemonSettings
) -> None:
    while True:
        states = await fetch_states(client, settings)
        if list(states.values()) == ["alive"] * DAEMONS:
            return
        await asyncio.sleep(POLL_S)


async def test_frozen_daemon_wakes_without_harm(tmp_path: pathlib.Path) -> None:
    first = processes.make_settings("n0")
    others = [
        processes.make_settings(f"n{index}", first.control_address)
        for index in range(1, DAEMONS)
    ]
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(httpx.AsyncClient())
        frozen, *awake = [
            (
                one,
                await stack.enter_async_context(
                    processes.run_daemon(one, tmp_path)
                ),
            )
            for one in (first, *others)
        ]
        async with asyncio.timeout(BACK_BOUND_S):
            for settings, _ in (frozen, *awake):
                await wait_for_all_alive(client, settings)
        frozen[1].send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(PAUSE_S)
            for settings, _ in awake:
                states = await fetch_states(client, settings)
                assert states["n0"] in TROUBLED
        finally:
            frozen[1].send_signal(signal.SIGCONT)
        loop = asyncio.get_running_loop()
        until = loop.time() + WATCH_S
        while loop.time() < until:
            for settings, _ in (frozen, *awake):
                states = await fetch_states(client, settings)
                del states["n0"]
                assert set(states.values()) == {"alive"}
            await asyncio.sleep(POLL_S)
        async with asyncio.timeout(BACK_BOUND_S):
            for settings, _ in (frozen, *awake):
                await wait_for_all_alive(client, settings)
