"""A daemon stopped by SIGSTOP and continued, in a group of real daemons.

Guards against a continued daemon that counts its own pause as missing answers
of its peers and tells other daemons that it suspects them.
"""

import asyncio
import contextlib
import pathlib
import signal
from typing import Any

import httpx

from kumquatridge.daemon import settings as daemon_settings
from tests import processes

DAEMONS = 4
# Both are longer than it takes to suspect a member that does not answer: by
# default, heartbeats are sent every 0.5 s, their answers are awaited for 0.3 s,
# and those of the probes after them for 0.6 s (see `membership.settings`).
PAUSE_S = 5.0
OBSERVATION_S = 4.0
# Limits the waits until all daemons consider all others alive.
ALL_ALIVE_TIMEOUT_S = 40.0
POLL_INTERVAL_S = 0.2
NOT_ALIVE_STATES = ("suspected", "dead")


async def fetch_states(
    client: httpx.AsyncClient, settings: daemon_settings.DaemonSettings
) -> dict[str, str]:
    """Returns the state of each member, as a daemon knows it, by instance."""
    url = f"http://{settings.operator_address}/v1/status"
    status: dict[str, Any] = (await client.get(url)).json()
    return {member["instance"]: member["state"] for member in status["members"]}


async def wait_for_all_alive(
    client: httpx.AsyncClient, settings: daemon_settings.DaemonSettings
) -> None:
    """Waits until a daemon knows DAEMONS members and all are alive."""
    while True:
        states = await fetch_states(client, settings)
        if list(states.values()) == ["alive"] * DAEMONS:
            return
        await asyncio.sleep(POLL_INTERVAL_S)


async def test_continued_daemon_suspects_no_other_member(
    tmp_path: pathlib.Path,
) -> None:
    paused_settings = processes.make_settings("n0")
    running_settings = [
        processes.make_settings(f"n{index}", paused_settings.control_address)
        for index in range(1, DAEMONS)
    ]
    async with contextlib.AsyncExitStack() as stack:
        client = await stack.enter_async_context(httpx.AsyncClient())
        # Pairs of a daemon's settings and its process.
        paused, *running = [
            (
                own_settings,
                await stack.enter_async_context(
                    processes.run_daemon(own_settings, tmp_path)
                ),
            )
            for own_settings in (paused_settings, *running_settings)
        ]
        async with asyncio.timeout(ALL_ALIVE_TIMEOUT_S):
            for settings, _ in (paused, *running):
                await wait_for_all_alive(client, settings)
        paused[1].send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(PAUSE_S)
            for settings, _ in running:
                states = await fetch_states(client, settings)
                assert states["n0"] in NOT_ALIVE_STATES
        finally:
            paused[1].send_signal(signal.SIGCONT)
        loop = asyncio.get_running_loop()
        observed_until_s = loop.time() + OBSERVATION_S
        while loop.time() < observed_until_s:
            for settings, _ in (paused, *running):
                states = await fetch_states(client, settings)
                # The others may still consider the continued daemon dead.
                del states["n0"]
                assert set(states.values()) == {"alive"}
            await asyncio.sleep(POLL_INTERVAL_S)
        async with asyncio.timeout(ALL_ALIVE_TIMEOUT_S):
            for settings, _ in (paused, *running):
                await wait_for_all_alive(client, settings)
