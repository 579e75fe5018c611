"""A daemon stopped under load finishes its calls; new ones go elsewhere."""

import asyncio
import contextlib
import pathlib
import signal
import time

import aiohttp

from kumquatridge.http import headers
from kumquatridge.standins import worker as worker_standin
from tests import processes

# Longest time from the stop signal to the last call that reaches the stopped
# daemon's worker: the drain of 0.5 s and a margin for a loaded machine.
NO_NEW_CALLS_AFTER_S = 3.0
# Longer than the second before the stop and NO_NEW_CALLS_AFTER_S together.
LOAD_DURATION_S = 6.0
SERVICE_MS = 400
CALLS_PER_S = 50


class RecordingWorker(worker_standin.SampleWorker):
    """Records the monotonic time at which the last call arrived, in s."""

    last_call_s = 0.0

    async def _handle(
        self, request: aiohttp.web.BaseRequest
    ) -> aiohttp.web.StreamResponse:
        self.last_call_s = time.monotonic()
        return await super()._handle(request)


async def test_stop_under_load_completes_all_calls(
    tmp_path: pathlib.Path,
) -> None:
    remaining = processes.make_settings("planning-1")
    stopping = processes.make_settings("planning-2", remaining.control_address)
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        await enter(processes.run_daemon(remaining, tmp_path))
        process = await enter(processes.run_daemon(stopping, tmp_path))
        workers = []
        for settings in (remaining, stopping):
            worker_settings = worker_standin.WorkerSettings(
                processes.get_free_address(), SERVICE_MS
            )
            workers.append(await enter(RecordingWorker(worker_settings)))
            await processes.announce(
                settings, "round-planning", worker_settings.address, 100
            )
        await processes.wait_for_instances(remaining, "round-planning", 2)
        session = await enter(aiohttp.ClientSession())
        # The time at which the stop signal is due.
        stop_due_s = time.monotonic() + 1.0
        async with asyncio.TaskGroup() as group:
            calls = [
                group.create_task(
                    send_call(session, remaining.caller_address, number)
                )
                for number in range(int(LOAD_DURATION_S * CALLS_PER_S))
            ]
            await asyncio.sleep(1.0)
            process.send_signal(signal.SIGTERM)
        assert [call.result() for call in calls] == [200] * len(calls)
        assert await process.wait() == 0
        # The worker of the stopped daemon.
        assert workers[1].started_count == workers[1].finished_count > 0
        assert workers[1].last_call_s - stop_due_s < NO_NEW_CALLS_AFTER_S


async def send_call(
    session: aiohttp.ClientSession, address: str, number: int
) -> int:
    """Sends call `number` at its time and returns the answer's status."""
    await asyncio.sleep(number / CALLS_PER_S)
    url = f"http://{address}/round-planning/rounds/{number}"
    async with session.get(url) as answer:
        await answer.read()
        assert headers.OUTCOME in answer.headers
        return answer.status
