"""A call resent with the same key to two real daemons runs once.

Guards against a call that runs at both daemons because they disagree on the
home of its key, and against losing the keys when a daemon is restarted.
"""

import asyncio
import collections
import contextlib
import dataclasses
import pathlib

import aiohttp
import pytest

from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.http import answers as http_answers
from kumquatridge.http import headers
from kumquatridge.standins import worker as worker_standin
from tests import processes

# Maximum age and transit time of bare keys, much shorter than the defaults, so
# that the tests need not wait long. A daemon runs a call with a bare key only
# after it has been the home for the sum of both.
MAX_AGE_MS = 1500
TRANSIT_MS = 200
# Time in which the restarted daemon and the other one exchange their keys.
HOME_UPDATES_S = 1.0
# Requests with the same key, sent at once to both daemons in turn.
RESENDS = 6
# Duration of a call at the worker, so that it is still running when the resends
# arrive.
SERVICE_MS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class ResendCase:
    """How the key is made, and the statuses that its resends receive.

    `body_bytes` is the length of the request body. A body above
    `http.bodies.BUFFERED_BODY_BYTES` is streamed.
    """

    is_issued: bool
    body_bytes: int
    statuses: frozenset[int]


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(ResendCase(False, 20, frozenset((200,))), id="bare key"),
        pytest.param(ResendCase(True, 20, frozenset((200,))), id="issued key"),
        pytest.param(
            ResendCase(True, 300_000, frozenset((200,))), id="streamed upload"
        ),
    ],
)
async def test_resends_to_two_daemons_run_once(
    tmp_path: pathlib.Path, case: ResendCase
) -> None:
    first_settings = make_settings("ordering-1")
    second_settings = make_settings(
        "ordering-2", first_settings.control_address
    )
    async with contextlib.AsyncExitStack() as stack:
        workers = []
        for settings in (first_settings, second_settings):
            await stack.enter_async_context(
                processes.run_daemon(settings, tmp_path)
            )
            sample_settings = worker_standin.WorkerSettings(
                processes.get_free_address(), SERVICE_MS
            )
            workers.append(
                await stack.enter_async_context(
                    worker_standin.SampleWorker(sample_settings)
                )
            )
            # With 50 slots.
            await processes.announce(
                settings, "ordering", sample_settings.address, 50
            )
        for settings in (first_settings, second_settings):
            await processes.wait_for_instances(settings, "ordering", 2)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        addresses = (
            first_settings.caller_address,
            second_settings.caller_address,
        )
        if case.is_issued:
            async with session.post(f"http://{addresses[0]}/-/keys") as answer:
                key = (await answer.text()).strip()
        else:
            key = "booking-1"
            # Longer than the maximum age and the transit together (1.7 s).
            await asyncio.sleep(2 * MAX_AGE_MS / 1000.0)
        answers = await asyncio.gather(
            *(
                send_booking(
                    session, addresses[number % 2], key, case.body_bytes
                )
                for number in range(RESENDS)
            )
        )
        run_counts = collections.Counter[str]()
        for worker in workers:
            run_counts += worker.runs_by_key
        assert run_counts == {key: 1}
        assert {status for status, _ in answers} == case.statuses
        assert len({text for _, text in answers}) == 1


async def send_booking(
    session: aiohttp.ClientSession, address: str, key: str, body_bytes: int
) -> tuple[int, str]:
    """Sends one booking and returns the answer's status and text."""
    async with session.post(
        f"http://{address}/ordering/bookings",
        data=b"x" * body_bytes,
        headers={headers.IDEMPOTENCY_KEY: key},
    ) as answer:
        return answer.status, await answer.text()


def make_settings(instance: str, *seeds: str) -> daemon_settings.DaemonSettings:
    return dataclasses.replace(
        processes.make_settings(instance, *seeds),
        bare_key_max_age_ms=MAX_AGE_MS,
        bare_key_transit_ms=TRANSIT_MS,
    )


# Calls with different bare keys after the restart; so many that either daemon
# is the home of some.
BOOKINGS = 40


@pytest.mark.parametrize(
    "is_planned",
    [
        pytest.param(True, id="stopped by SIGTERM"),
        pytest.param(False, id="killed"),
    ],
)
async def test_only_an_unplanned_restart_leaves_bare_keys_unknown(
    tmp_path: pathlib.Path, is_planned: bool
) -> None:
    first_settings = make_settings("ordering-1")
    second_settings = make_settings(
        "ordering-2", first_settings.control_address
    )
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        worker_addresses = []
        for _ in range(2):
            sample_settings = worker_standin.WorkerSettings(
                processes.get_free_address()
            )
            await enter(worker_standin.SampleWorker(sample_settings))
            worker_addresses.append(sample_settings.address)
        await enter(processes.run_daemon(first_settings, tmp_path))
        async with processes.run_daemon(second_settings, tmp_path) as process:
            await announce_workers(
                (first_settings, second_settings), worker_addresses
            )
            # Longer than the maximum age and the transit together (1.7 s).
            await asyncio.sleep(2 * MAX_AGE_MS / 1000.0)
            # Leaving the context of the process sends SIGTERM.
            if not is_planned:
                process.kill()
                await process.wait()
        await enter(processes.run_daemon(second_settings, tmp_path))
        await announce_workers(
            (first_settings, second_settings), worker_addresses
        )
        session = await enter(aiohttp.ClientSession())
        await asyncio.sleep(HOME_UPDATES_S)
        answers = await asyncio.gather(
            *(
                send_booking(
                    session, second_settings.caller_address, f"key-{number}", 20
                )
                for number in range(BOOKINGS)
            )
        )
    unknown_count = sum(
        status == http_answers.STATUS_UNKNOWN for status, _ in answers
    )
    assert unknown_count == 0 if is_planned else 0 < unknown_count < BOOKINGS
    assert {status for status, _ in answers} <= {
        200,
        http_answers.STATUS_UNKNOWN,
    }


async def announce_workers(
    daemons: tuple[daemon_settings.DaemonSettings, ...],
    worker_addresses: list[str],
) -> None:
    """Announces both workers and waits until both daemons list them."""
    # With 50 slots each.
    for settings, worker_address in zip(daemons, worker_addresses, strict=True):
        await processes.announce(settings, "ordering", worker_address, 50)
    for settings in daemons:
        await processes.wait_for_instances(settings, "ordering", 2)
