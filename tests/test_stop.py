"""A planned stop cuts off no call and takes no new work after a while."""

import asyncio
import contextlib
import pathlib
import signal
import time

import aiohttp

from kumquatridge.http import headers
from kumquatridge.standins import worker as worker_standin
from tests import processes

NO_NEW_WORK_AFTER_S = 3.0
LOAD_S = 6.0
SERVICE_MS = 400
CALLS_PER_S = 50


class LateWorker(worker_standin.SampleWorker):
    """Remembers when it was last sent a call."""

    last_call_s = 0.0

    async def _handle(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        self.last_call_s = time.monotonic()
        return await super()._handle(request)


async def test_stop_under_load(tmp_path: pathlib.Path) -> None:
    staying = processes.make_settings("planning-1")
    leaving = processes.make_settings("planning-2", staying.control_address)
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        await enter(processes.run_daemon(staying, tmp_path))
        process = await enter(processes.run_daemon(leaving, tmp_path))
        workers = []
        for settings in (staying, leaving):
            sample = worker_standin.WorkerSettings(
                processes.get_free_address(), SERVICE_MS
            )
            workers.append(await enter(LateWorker(sample)))
            await processes.announce(
                settings, "round-planning", sample.address, 100
            )
        await processes.wait_for_instances(staying, "round-planning", 2)
        session = await enter(aiohttp.ClientSession())
        stopped_s = time.monotonic() + 1.0
        async with asyncio.TaskGroup() as group:
            calls = [
                group.create_task(
                    call_at(session, staying.caller_address, number)
                )
                for number in range(int(LOAD_S * CALLS_PER_S))
            ]
            await asyncio.sleep(1.0)
            process.send_signal(signal.SIGTERM)
        assert [call.result() for call in calls] == [200] * len(calls)
        assert await process.wait() == 0
        assert workers[1].started == workers[1].finished > 0
        assert workers[1].last_call_s - stopped_s < NO_NEW_WORK_AFTER_S


async def call_at(
    session: aiohttp.ClientSession, address: str, number: int
) -> int:
    """Sends one call when it is due and returns the answer's status."""
    await asyncio.sleep(number / CALLS_PER_S)
    url = f"http://{address}/round-planning/rounds/{number}"
    async with session.get(url) as answer:
        await answer.read()
        assert headers.OUTCOME in answer.headers
        return answer.status
