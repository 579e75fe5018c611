"""End-to-end requests through daemons of a small deployment."""

import asyncio
import collections

import pytest

from kumquatridge.admission import drain
from kumquatridge.admission import offers
from kumquatridge.calls import body as call_body
from kumquatridge.standins import platform_store
from kumquatridge.transport import errors
from kumquatridge.transport import messages as http
from tests.platform import deployment as deployments
from tests.platform import late_reader

NON_IDEMPOTENT = {"routeType": "non_idempotent"}
SHOP = deployments.make_route("/shop/", ("shop", 1))
BUY = deployments.make_route("/buy/", ("shop", 1), **NON_IDEMPOTENT)
STOCK = deployments.make_route("/stock/", ("stock", 1))
ROUTES = (SHOP, BUY, STOCK)
BODY = call_body.BufferedBody(b"\x00raw\xff")


def make_shops(count: int = 2) -> list[deployments.Worker]:
    return [
        deployments.Worker(f"shop-{number}", "shop") for number in range(count)
    ]


def count_received(workers: list[deployments.Worker]) -> int:
    return sum(len(worker.received) for worker in workers)


async def test_request_reaches_the_worker_unchanged() -> None:
    shop, stock = (
        deployments.Worker("shop-0", "shop"),
        deployments.Worker("s-0", "stock"),
    )
    async with deployments.open_deployment(
        shop, stock, routes=ROUTES
    ) as deployment:
        request = deployments.make_request(
            "/stock/a%2f../b//c?d=%20&d=1",
            method="POST",
            request_id="r.7",
            body=BODY,
            extra_headers=(("Caller-Service", "forged"), ("X-Mine", "kept")),
        )
        answer = await deployment.send(request)
    assert answer.status == 200
    assert http.find_header(answer.headers, "server-signature") == "s-0/r.7"
    (received,) = stock.received
    assert (received.method, received.target) == ("POST", request.target)
    assert received.body == BODY
    assert stock.get_header("request-id") == "r.7"
    assert stock.get_header("host") == deployments.HOST
    assert stock.get_header("x-mine") == "kept"
    assert stock.get_header("caller-service") == "shop"
    assert stock.get_header("expected-instance") == "s-0"
    # The time-out of the route (1 s) is shorter than the caller's (2 s).
    assert 0 < int(stock.get_header("deadline-ms") or 0) <= 1000
    assert not [name for name, _ in received.headers if "kumquatridge" in name]


@pytest.mark.parametrize(
    ("target", "host", "status"),
    [
        pytest.param("/shop/x", deployments.HOST, 200, id="served"),
        pytest.param(
            "/shop/x", f"{deployments.HOST}:80", 200, id="with a port"
        ),
        pytest.param("/shop", deployments.HOST, 404, id="prefix without slash"),
        pytest.param(
            "/shopping/x", deployments.HOST, 404, id="partial segment"
        ),
        pytest.param(
            "/x?/shop/", deployments.HOST, 404, id="prefix in the query"
        ),
        pytest.param("/shop/x", "other.example", 404, id="another host"),
    ],
)
async def test_route_is_chosen_by_host_and_path(
    target: str, host: str, status: int
) -> None:
    (shop,) = make_shops(1)
    async with deployments.open_deployment(shop, routes=ROUTES) as deployment:
        request = http.Request(
            "GET",
            target,
            (("Host", host), ("Request-Id", "1")),
            call_body.EMPTY,
        )
        assert (await deployment.send(request)).status == status


Behaviour = deployments.Behaviour


@pytest.mark.parametrize(
    ("path", "first_behaviour", "second_behaviour", "status", "arrivals"),
    # The behaviours are those of the worker that is tried first and of the
    # other one, `status` is that of the caller's answer and `arrivals` the
    # number of requests at both workers.
    [
        pytest.param(
            "/shop/", Behaviour(), Behaviour(), 200, 1, id="succeeded"
        ),
        pytest.param(
            "/shop/",
            Behaviour(drops=True),
            Behaviour(),
            200,
            2,
            id="connection lost, retried",
        ),
        pytest.param(
            "/buy/",
            Behaviour(drops=True),
            Behaviour(),
            502,
            1,
            id="connection lost, not idempotent",
        ),
        pytest.param(
            "/buy/",
            Behaviour(not_run=True, status=503),
            Behaviour(),
            200,
            2,
            id="refused by one worker",
        ),
        pytest.param(
            "/buy/",
            Behaviour(not_run=True, status=503),
            Behaviour(not_run=True, status=503),
            503,
            # One at the first worker, and as many at the second one as a daemon
            # may offer a call.
            1 + offers.OfferSettings().max_offers,
            id="refused by both workers",
        ),
        pytest.param(
            "/buy/",
            Behaviour(status=500),
            Behaviour(),
            500,
            1,
            id="failed with 500",
        ),
        pytest.param(
            "/buy/",
            Behaviour(status=503),
            Behaviour(),
            502,
            1,
            id="503 without Not-Executed",
        ),
        pytest.param(
            "/buy/",
            # Longer than the time-out of the route (1 s).
            Behaviour(work_ms=1500),
            Behaviour(),
            504,
            1,
            id="timed out",
        ),
    ],
)
async def test_failed_attempt_is_retried_only_where_safe(
    path: str,
    first_behaviour: deployments.Behaviour,
    second_behaviour: deployments.Behaviour,
    status: int,
    arrivals: int,
) -> None:
    shops = make_shops()
    async with deployments.open_deployment(*shops, routes=ROUTES) as deployment:
        # Instances are chosen at random: repeats until `shops[0]`, which has
        # `first_behaviour`, is tried.
        while not shops[0].received:
            shops[0].behaviour, shops[1].behaviour = (
                first_behaviour,
                second_behaviour,
            )
            for worker in shops:
                worker.received.clear()
            answer = await deployment.send(
                deployments.make_request(path, method="POST")
            )
    assert answer.status == status
    assert count_received(shops) == arrivals
    has_signature = http.find_header(answer.headers, "server-signature")
    assert (has_signature is not None) == (status in (200, 500))
    if status == 503:
        assert http.find_header(answer.headers, "retry-after")


async def test_daemon_without_routes_refuses_calls_and_is_not_ready() -> None:
    (shop,) = make_shops(1)
    async with deployments.open_deployment(
        shop, routes=ROUTES, is_published=False
    ) as deployment:
        answer = await deployment.send(deployments.make_request("/shop/x"))
        assert answer.status == 503
        assert http.find_header(answer.headers, "retry-after")
        assert await deployment.get_readiness_status(0) == 503
        await deployment.publish(*ROUTES)
        await deployment.wait_until_discovered()
        assert await deployment.get_readiness_status(0) == 200


@pytest.mark.parametrize("deregisters", [True, False])
async def test_leaving_worker_receives_no_calls(deregisters: bool) -> None:
    shops = make_shops()
    async with deployments.open_deployment(*shops, routes=ROUTES) as deployment:
        if deregisters:
            assert await deployment.deregister(0, b"") == 200
        else:
            # Without an earlier report, any sequence number is accepted.
            assert (
                await deployment.report(0, state="draining", sequence=9) == 200
            )
        for number in range(20):
            request = deployments.make_request(
                "/buy/x", request_id=f"r{number}"
            )
            assert (await deployment.send(request, number % 2)).status == 200
    assert not shops[0].received
    assert len(shops[1].received) == 20


# Guards against a worker that is used again after its departure: the daemon
# that acknowledged it was killed, and an earlier report arrives late.
@pytest.mark.parametrize(
    "departure",
    [
        pytest.param(b'{"born":1}', id="with start time"),
        pytest.param(b"", id="without start time"),
    ],
)
@pytest.mark.parametrize("departs_after_restart", [False, True])
async def test_departed_worker_stays_unused_after_a_restart_of_its_daemon(
    departs_after_restart: bool, departure: bytes
) -> None:
    shops = make_shops()
    async with deployments.open_deployment(*shops, routes=ROUTES) as deployment:
        await deployment.report(0, sequence=1)
        shops[0].is_healthy = False
        if not departs_after_restart:
            assert await deployment.deregister(0, departure) == 200
        daemon = await deployment.restart_daemon(0)
        if departs_after_restart:
            assert await deployment.deregister(0, departure) == 200
        await deployment.report(0, sequence=2)
        await deployments.wait_until(lambda: daemon.count_instances() > 0, 8.0)
        # Longer than the interval of the health checks.
        await asyncio.sleep(0.4)
        for number in range(20):
            request = deployments.make_request(
                "/buy/x", request_id=f"r{number}"
            )
            assert (await deployment.send(request, 0)).status == 200
    assert not shops[0].received
    assert len(shops[1].received) == 20


async def test_request_in_progress_completes_while_its_worker_leaves() -> None:
    (shop,) = make_shops(1)
    shop.behaviour = deployments.Behaviour(work_ms=300)
    async with deployments.open_deployment(shop, routes=ROUTES) as deployment:
        sent = asyncio.create_task(
            deployment.send(deployments.make_request("/buy/x"))
        )
        await deployments.wait_until(lambda: bool(shop.received))
        await deployment.report(0, state="draining", sequence=9)
        assert (await sent).status == 200


async def test_disconnect_of_the_caller_cancels_the_call() -> None:
    shop, stock = (
        deployments.Worker("shop-0", "shop"),
        deployments.Worker("s-0", "stock"),
    )
    stock.behaviour = deployments.Behaviour(work_ms=900)
    async with deployments.open_deployment(
        shop, stock, routes=ROUTES
    ) as deployment:
        sent = asyncio.create_task(
            deployment.send(deployments.make_request("/stock/x"))
        )
        await deployments.wait_until(lambda: stock.running == 1)
        sent.cancel()
        # Within 0.4 s, the request of 900 ms can't end by itself.
        await deployments.wait_until(lambda: stock.cancelled == 1, 0.4)


async def test_draining_daemon_completes_requests_in_progress() -> None:
    shop, stock = (
        deployments.Worker("shop-0", "shop"),
        deployments.Worker("s-0", "stock"),
    )
    stock.behaviour = deployments.Behaviour(work_ms=400)
    async with deployments.open_deployment(
        shop, stock, routes=ROUTES
    ) as deployment:
        sent = asyncio.create_task(
            deployment.send(deployments.make_request("/stock/x"))
        )
        await deployments.wait_until(lambda: stock.running == 1)
        draining = asyncio.create_task(deployment.daemons[1].drain())
        caller_draining = asyncio.create_task(deployment.daemons[0].drain())
        late_answer = await deployment.send(
            deployments.make_request("/stock/y", request_id="2")
        )
        assert (await sent).status == 200
        # The late request is refused if the caller's daemon already knew that
        # the daemon of the "stock" worker is draining.
        assert late_answer.status in (200, 503)
        await asyncio.gather(draining, caller_draining)


async def test_draining_daemon_refuses_requests_that_may_outlast_it() -> None:
    """New requests are refused if they may outlast the drain.

    Callers have had `drain.NOTICE_MS` (2.5 s) to notice that the daemon stops.
    The late request is sent after 3 s of 5.6 s; its deadline of 2 s is later
    than the end of the drain after 4.7 s.
    """
    (shop,) = make_shops(1)
    shop.behaviour = deployments.Behaviour(work_ms=4000)
    slow = deployments.make_route("/slow/", ("shop", 1), timeoutS=5.0)
    async with deployments.open_deployment(
        shop, routes=(slow,), grace_ms=5600.0
    ) as deployment:
        request = deployments.make_request("/slow/x", deadline_ms=5000)
        sent = asyncio.create_task(deployment.send(request))
        await deployments.wait_until(lambda: shop.running == 1)
        draining = asyncio.create_task(deployment.daemons[0].drain())
        await asyncio.sleep(3.0)
        late_answer = await deployment.send(
            deployments.make_request("/slow/y", request_id="2")
        )
        assert late_answer.status == 503
        # `routed_call_builder.NOT_READY_RETRY_MS`, in seconds.
        assert http.find_header(late_answer.headers, "retry-after") == "0.500"
        assert (await sent).status == 200
        await draining


# Guards against requests that are taken late in the grace period, passed on,
# and cut off at its end.
async def test_request_taken_in_the_grace_period_is_answered() -> None:
    shops = make_shops()
    for shop in shops:
        shop.behaviour = Behaviour(work_ms=700)
    async with deployments.open_deployment(
        *shops, routes=ROUTES, grace_ms=5600.0
    ) as deployment:

        async def send(number: int) -> None:
            request = deployments.make_request(
                "/buy/x", request_id=f"r{number}"
            )
            try:
                answer = await deployment.send(request)
            except errors.TransportError:
                return
            statuses[f"r{number}"] = answer.status

        statuses: dict[str, int] = {}
        async with asyncio.TaskGroup() as group:
            stopping = group.create_task(deployment.stop_daemon(0))
            number = 0
            while not stopping.done():
                number += 1
                group.create_task(send(number))
                await asyncio.sleep(0.05)
        received = [
            http.find_header(request.headers, "request-id")
            for shop in shops
            for request in shop.received
        ]
    assert [statuses.get(name or "") for name in received] == [
        200 for _ in received
    ]
    assert len(received) > 20
    assert 503 in statuses.values()


# Guards against an answer that a planned stop cuts off, because it is still in
# the daemon's write buffer when its caller begins to read.
@pytest.mark.parametrize(
    "body_bytes",
    # `incoming_body.MAX_BUFFERED_BYTES` is 512 KiB.
    [
        pytest.param(500_000, id="buffered"),
        pytest.param(700_000, id="streamed"),
    ],
)
async def test_drain_waits_for_an_answer_that_is_read_late(
    body_bytes: int,
) -> None:
    (shop,) = make_shops(1)
    shop.behaviour = Behaviour(body_bytes=body_bytes)
    slow = deployments.make_route("/slow/", ("shop", 1), timeoutS=5.0)
    async with deployments.open_deployment(shop, routes=(slow,)) as deployment:
        address = deployment.settings[0].caller_address
        async with late_reader.send(address, "/slow/x", 5000) as reader:
            await deployments.wait_until(lambda: bool(shop.received))
            draining = asyncio.create_task(deployment.daemons[0].drain())
            # Past the time at which idle connections are closed.
            await asyncio.sleep(drain.NOTICE_MS / 1000 + 0.3)
            assert not draining.done()
            assert len(await late_reader.read_body(reader)) == body_bytes
        async with asyncio.timeout(1.0):
            await draining


# Guards against a request that is passed on after the drain, while the daemon
# closes, and is cut off without an answer.
async def test_request_after_the_drain_is_refused() -> None:
    shops = make_shops()
    async with deployments.open_deployment(*shops, routes=ROUTES) as deployment:
        await deployment.daemons[0].drain()
        answer = await deployment.send(deployments.make_request("/shop/x"))
        assert answer.status == 503
    assert count_received(shops) == 0


@pytest.mark.parametrize(
    ("grace_s", "margin_s"),
    [(1.0, 0.25), (2.0, 0.5), (3.6, 0.9)],
)
async def test_drain_ends_before_the_kill_margin(
    grace_s: float, margin_s: float
) -> None:
    """A drain stops waiting for requests shortly before SIGKILL.

    It ends `drain.KILL_MARGIN_MS` (900 ms) before the grace period of 3.6 s
    does, and a quarter of a shorter one before its end; the test allows 100 ms
    more.
    """
    (shop,) = make_shops(1)
    shop.behaviour = deployments.Behaviour(work_ms=5000)
    slow = deployments.make_route("/slow/", ("shop", 1), timeoutS=5.0)
    async with deployments.open_deployment(
        shop, routes=(slow,), grace_ms=grace_s * 1000.0
    ) as deployment:
        request = deployments.make_request("/slow/x", deadline_ms=5000)
        sent = asyncio.create_task(deployment.send(request))
        await deployments.wait_until(lambda: shop.running == 1)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await deployment.daemons[0].drain()
        assert loop.time() - started_s <= grace_s - margin_s + 0.1
        sent.cancel()


async def test_calls_are_split_by_the_weights_of_a_route() -> None:
    shop, stock = (
        deployments.Worker("shop-0", "shop"),
        deployments.Worker("s-0", "stock"),
    )
    split = deployments.make_route("/both/", ("shop", 70), ("stock", 30))
    async with deployments.open_deployment(
        shop, stock, routes=(split,)
    ) as deployment:
        for number in range(40):
            request = deployments.make_request(
                "/both/x", request_id=f"r{number}"
            )
            await deployment.send(request)
    counts = collections.Counter(
        {worker.service: len(worker.received) for worker in (shop, stock)}
    )
    # 70 % and 30 % of the 40 calls.
    assert counts == {"shop": 28, "stock": 12}


async def test_route_change_is_in_force_on_all_daemons_within_600_ms() -> None:
    shop, stock = (
        deployments.Worker("shop-0", "shop"),
        deployments.Worker("s-0", "stock"),
    )
    async with deployments.open_deployment(
        shop, stock, routes=ROUTES
    ) as deployment:
        moved = deployments.make_route("/shop/", ("stock", 1))
        await deployment.publish(moved)
        await asyncio.sleep(0.6)
        for number in range(2):
            answer = await deployment.send(
                deployments.make_request("/shop/x"), number
            )
            assert answer.status == 200
    assert (len(shop.received), len(stock.received)) == (0, 2)


async def test_worker_concurrency_never_exceeds_its_slots() -> None:
    shop = deployments.Worker("shop-0", "shop", slots=3)
    shop.behaviour = deployments.Behaviour(work_ms=20)
    async with deployments.open_deployment(shop, routes=ROUTES) as deployment:
        await deployment.report(0, sequence=1)
        await asyncio.gather(
            *(
                deployment.send(
                    deployments.make_request("/buy/x", request_id=f"r{number}")
                )
                for number in range(12)
            )
        )
    assert shop.max_running == 3


async def test_daemon_restarts_during_an_outage_of_the_store() -> None:
    shops = make_shops()
    async with deployments.open_deployment(*shops, routes=ROUTES) as deployment:
        deployment.store.set_faults(platform_store.PlatformFaults(down=True))
        await deployment.restart_daemon(0)
        await deployments.wait_until(
            # The other daemon tries to reach the new one only about every 1.5 s
            # (`control_plane.GOSSIP_SETTINGS`).
            lambda: deployment.daemons[-1].count_instances() > 0,
            8.0,
        )
        answer = await deployment.send(deployments.make_request("/shop/x"))
        assert answer.status == 200


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff{", id="invalid JSON"),
        pytest.param(b"[]", id="a list"),
        pytest.param(b'{"address":"x"}', id="fields missing"),
        pytest.param(
            b'{"address":1,"info":{"service":"shop","maxConcurrency":1},'
            b'"status":{"state":"ready","sequence":5}}',
            id="wrong type",
        ),
        pytest.param(
            b'{"address":"x","info":{"service":"shop","maxConcurrency":1},'
            b'"status":{"state":"odd","sequence":5}}',
            id="unknown state",
        ),
    ],
)
async def test_malformed_heartbeat_changes_nothing(data: bytes) -> None:
    (shop,) = make_shops(1)
    async with deployments.open_deployment(shop, routes=ROUTES) as deployment:
        assert await deployment.send_report(0, "shop-0", data) == 400
        answer = await deployment.send(deployments.make_request("/shop/x"))
        assert answer.status == 200


async def test_request_that_crashes_workers_is_quarantined_on_all_daemons() -> (
    None
):
    shops = make_shops(3)
    async with deployments.open_deployment(*shops, routes=ROUTES) as deployment:
        for worker in shops:
            worker.behaviour = deployments.Behaviour(crashes=True)
        statuses = []
        for number in range(12):
            request = deployments.make_request(
                "/buy/poison",
                method="POST",
                request_id=f"r{number}",
                body=BODY,
            )
            statuses.append((await deployment.send(request, number % 3)).status)
            # A crashed worker is down for 0.4 s.
            await asyncio.sleep(0.4)
            for shop in shops:
                await shop.start()
            await deployments.wait_until(
                lambda: all(
                    daemon.count_instances() == 3
                    for daemon in deployment.daemons
                )
            )
        # Three crashes lead to quarantine (`quarantine_crash_count`); this test
        # allows one more run.
        assert count_received(shops) <= 4
        assert statuses[-1] == 503
        good = await deployment.send(deployments.make_request("/shop/other"))
        assert good.status == 200
