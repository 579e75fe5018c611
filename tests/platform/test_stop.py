"""Requests in progress, and new ones, while a daemon stops."""

import asyncio
import dataclasses

import pytest

from kumquatridge.admission import drain
from kumquatridge.platform import listeners
from kumquatridge.transport import errors
from kumquatridge.transport import messages as http
from tests.platform import deployment as deployments

SLOW = deployments.make_route(
    "/slow/", ("shop", 1), routeType="non_idempotent", timeoutS=6.0
)
CUT = 0
# Longer than any drain here.
BUSY_WORK_S = 6.0


@dataclasses.dataclass(frozen=True)
class Stop:
    """A request, and the grace period of the daemon that receives it.

    The request is sent `sent_s` after the start of the drain.
    """

    grace_s: float
    sent_s: float
    deadline_s: float
    work_s: float
    status: int


async def send(
    deployment: deployments.Deployment, request_id: str, deadline_s: float
) -> int:
    """Sends a request; returns the status, `CUT` without an answer."""
    request = deployments.make_request(
        "/slow/x",
        method="POST",
        request_id=request_id,
        deadline_ms=round(deadline_s * 1000),
    )
    try:
        return (await deployment.send(request)).status
    except errors.TransportError:
        return CUT


def make_shops(count: int, work_s: float) -> list[deployments.Worker]:
    shops = [
        deployments.Worker(f"shop-{number}", "shop") for number in range(count)
    ]
    for shop in shops:
        set_work(shop, work_s)
    return shops


def set_work(shop: deployments.Worker, work_s: float) -> None:
    shop.behaviour = deployments.Behaviour(work_ms=work_s * 1000)


# Guards against a request that is taken late in the grace period, run, and cut
# off at its end without an answer.
@pytest.mark.parametrize(
    "stop",
    [
        pytest.param(Stop(6.0, 2.7, 5.0, 2.7, 503), id="outlasts the drain"),
        pytest.param(Stop(6.0, 2.7, 2.2, 0.5, 200), id="ends before it"),
        pytest.param(Stop(6.0, 2.7, 2.2, 5.0, 504), id="times out before it"),
        pytest.param(Stop(6.0, 0.5, 6.0, 6.0, 502), id="callers can't know"),
        pytest.param(Stop(2.0, 0.4, 6.0, 5.0, 502), id="a short grace period"),
        pytest.param(Stop(2.0, 0.4, 6.0, 0.5, 200), id="short, but enough"),
        pytest.param(Stop(2.0, 1.2, 6.0, 0.1, 503), id="late in a short one"),
    ],
)
async def test_request_taken_in_the_grace_period_is_never_cut(
    stop: Stop,
) -> None:
    shops = make_shops(2, BUSY_WORK_S)
    async with deployments.open_deployment(
        *shops, routes=(SLOW,), grace_ms=stop.grace_s * 1000
    ) as deployment:
        # The daemon has something to do until the end of its drain.
        busy = asyncio.create_task(send(deployment, "busy", 6.0))
        await deployments.wait_until(lambda: any(s.running for s in shops))
        for shop in shops:
            set_work(shop, stop.work_s)
        stopping = asyncio.create_task(deployment.stop_daemon(0))
        await asyncio.sleep(stop.sent_s)
        status = await send(deployment, "tested", stop.deadline_s)
        await stopping
        await busy
    has_run = any(
        ("request-id", "tested") in request.headers
        for shop in shops
        for request in shop.received
    )
    assert (status, has_run) == (stop.status, stop.status != 503)


# Guards against a call whose caller gets no answer, because it runs, or waits
# for a slot, when the drain ends.
@pytest.mark.parametrize(
    ("grace_s", "shop_count", "slots"),
    [
        pytest.param(1.0, 1, 8, id="1 s, at the local worker"),
        pytest.param(2.0, 2, 8, id="2 s, at both workers"),
        pytest.param(2.0, 1, 1, id="2 s, some wait for a slot"),
        pytest.param(4.0, 2, 1, id="4 s, some wait for a slot"),
    ],
)
async def test_calls_in_progress_at_the_end_of_the_drain_are_answered(
    grace_s: float, shop_count: int, slots: int
) -> None:
    shops = make_shops(shop_count, BUSY_WORK_S)
    for shop in shops:
        shop.slots = slots
    async with deployments.open_deployment(
        *shops, routes=(SLOW,), grace_ms=grace_s * 1000
    ) as deployment:
        sent = [
            asyncio.create_task(send(deployment, f"r{number}", 6.0))
            for number in range(4)
        ]
        await deployments.wait_until(lambda: shops[0].running > 0)
        async with asyncio.timeout(grace_s):
            await deployment.stop_daemon(0)
        statuses = await asyncio.gather(*sent)
    assert set(statuses) <= {502, 503}
    assert 502 in statuses


# Guards against a new connection that a stopping daemon closes as idle, just
# before the request on it arrives.
async def test_request_on_a_new_connection_is_answered() -> None:
    shops = make_shops(2, BUSY_WORK_S)
    async with deployments.open_deployment(
        *shops, routes=(SLOW,), grace_ms=6000.0
    ) as deployment:
        busy = asyncio.create_task(send(deployment, "busy", 6.0))
        await deployments.wait_until(lambda: any(s.running for s in shops))
        for shop in shops:
            set_work(shop, 0.1)
        stopping = asyncio.create_task(deployment.stop_daemon(0))
        # Past the time at which idle connections are closed.
        await asyncio.sleep(drain.NOTICE_MS / 1000 + 0.1)
        host, port = deployment.settings[0].caller_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        # More than the interval at which they are closed.
        await asyncio.sleep(3 * listeners.IDLE_POLL_MS / 1000)
        request = deployments.make_request("/slow/x", deadline_ms=1000)
        writer.write(http.encode_request_head(request))
        assert (await reader.readline()).startswith(b"HTTP/1.1 200")
        writer.close()
        await stopping
        await busy
