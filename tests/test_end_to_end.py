"""Calls from caller to worker through daemons in separate processes."""

import asyncio
import contextlib
import dataclasses
import hashlib
import pathlib

import aiohttp
import pytest
import yarl

from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.http import headers
from kumquatridge.standins import worker as worker_standin
from tests import processes

# Number of concurrent callers, and of the slots of each worker.
CALLERS = 1000
# Deadlines are not tested here. They are long enough not to expire when other
# tests load the machine.
TREE = """{
  "settings": {"importance": "normal", "idempotent": true,
    "deadline_ms": 120000, "retry_allowance": 0, "long_running": false,
    "max_body_bytes": 1000000, "queue_wait_ms": 60000},
  "children": {"rounds": {"children": {"round-planning": {}}}}
}"""


def make_expected_answer(path: str, body: bytes) -> str:
    """Returns the answer that the sample worker gives to a request.

    See `worker_standin`: the length of the body and a digest.
    """
    digest = hashlib.sha256(path.encode() + body).hexdigest()
    return f"{len(body)} {digest}"


@pytest.mark.parametrize(
    ("daemons", "workers"),
    # Numbers of each. The callers use the first daemon; the last ones have the
    # workers.
    [
        pytest.param(1, 1, id="one daemon with a worker"),
        pytest.param(2, 1, id="caller's daemon has no worker"),
        pytest.param(2, 2, id="two daemons with a worker each"),
    ],
)
async def test_each_caller_gets_its_own_answer(
    tmp_path: pathlib.Path, daemons: int, workers: int
) -> None:
    first_settings = make_settings(tmp_path, "planning-1")
    second_settings = make_settings(
        tmp_path, "planning-2", first_settings.control_address
    )
    started_settings = (first_settings, second_settings)[:daemons]
    serving_settings = started_settings[-workers:]
    all_worker_settings = [
        worker_standin.WorkerSettings(processes.get_free_address())
        for _ in serving_settings
    ]
    async with contextlib.AsyncExitStack() as stack:
        for settings in started_settings:
            await stack.enter_async_context(
                processes.run_daemon(settings, tmp_path)
            )
        for settings, worker_settings in zip(
            serving_settings, all_worker_settings, strict=True
        ):
            await stack.enter_async_context(
                worker_standin.SampleWorker(worker_settings)
            )
            await processes.announce(
                settings, "round-planning", worker_settings.address, CALLERS
            )
        for settings in started_settings:
            await processes.wait_for_instances(
                settings, "round-planning", workers
            )
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        )
        async with asyncio.TaskGroup() as group:
            for number in range(CALLERS):
                group.create_task(
                    send_call(session, first_settings.caller_address, number)
                )


@pytest.mark.parametrize(
    ("sent_path", "received_path"),
    [
        pytest.param("/rounds/7?day=2", "/rounds/7?day=2", id="unchanged"),
        pytest.param("/bookings/../rounds/7", "/rounds/7", id="dot segments"),
        pytest.param(
            "/%72ounds/7", "/rounds/7", id="unnecessary percent-encoding"
        ),
        pytest.param(
            "/a%2Fb/[1]|2",
            "/a%2Fb/%5B1%5D%7C2",
            id="characters to be percent-encoded",
        ),
    ],
)
async def test_worker_receives_the_normalized_path(
    tmp_path: pathlib.Path, sent_path: str, received_path: str
) -> None:
    first_settings = make_settings(tmp_path, "planning-1")
    second_settings = make_settings(
        tmp_path, "planning-2", first_settings.control_address
    )
    worker_settings = worker_standin.WorkerSettings(
        processes.get_free_address()
    )
    async with contextlib.AsyncExitStack() as stack:
        for settings in (first_settings, second_settings):
            await stack.enter_async_context(
                processes.run_daemon(settings, tmp_path)
            )
        await stack.enter_async_context(
            worker_standin.SampleWorker(worker_settings)
        )
        await processes.announce(
            second_settings, "round-planning", worker_settings.address, 10
        )
        await processes.wait_for_instances(first_settings, "round-planning", 1)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        for settings in (first_settings, second_settings):
            url = f"http://{settings.caller_address}/round-planning{sent_path}"
            async with session.get(yarl.URL(url, encoded=True)) as answer:
                assert await answer.text() == make_expected_answer(
                    received_path, b""
                )


def make_settings(
    folder: pathlib.Path, instance: str, *seeds: str
) -> daemon_settings.DaemonSettings:
    tree_file = folder / "tree.jsonc"
    tree_file.write_text(TREE)
    return dataclasses.replace(
        processes.make_settings(instance, *seeds), tree_file=str(tree_file)
    )


async def send_call(
    session: aiohttp.ClientSession, address: str, number: int
) -> None:
    """Sends one call and checks its answer.

    Body and delay depend on `number`, so that answers arrive out of order and
    a mixed-up answer is detected. Bodies have 0 to 49 copies of a text, and
    workers answer after 0 to 199 ms.
    """
    body = f"caller {number}".encode() * (number % 50)
    delay_ms = (number * 37) % 200
    path = f"/rounds/{number}?service_ms={delay_ms}"
    url = f"http://{address}/round-planning{path}"
    async with session.post(url, data=body) as answer:
        assert await answer.text() == make_expected_answer(path, body)
        assert answer.status == 200
        assert answer.headers[headers.OUTCOME] == headers.OUTCOME_COMPLETED
