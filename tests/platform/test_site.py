"""Whole requests on a small deployment of the platform."""

import asyncio
import collections

import pytest

from kumquatridge.calls import body as call_body
from kumquatridge.standins import platform_store
from kumquatridge.transport import messages as http
from tests.platform import site as sites

UNSAFE = {"routeType": "non_idempotent"}
SHOP = sites.make_route("/shop/", ("shop", 1))
BUY = sites.make_route("/buy/", ("shop", 1), **UNSAFE)
STOCK = sites.make_route("/stock/", ("stock", 1))
ROUTES = (SHOP, BUY, STOCK)
BODY = call_body.BufferedBody(b"\x00raw\xff")


def make_shops(count: int = 2) -> list[sites.Worker]:
    return [sites.Worker(f"shop-{number}", "shop") for number in range(count)]


def count_seen(workers: list[sites.Worker]) -> int:
    return sum(len(one.seen) for one in workers)


async def test_request_reaches_the_worker_unchanged() -> None:
    shop, stock = sites.Worker("shop-0", "shop"), sites.Worker("s-0", "stock")
    async with sites.open_site(shop, stock, routes=ROUTES) as site:
        request = sites.make_request(
            "/stock/a%2f../b//c?d=%20&d=1",
            method="POST",
            request_id="r.7",
            body=BODY,
            more=(("Caller-Service", "forged"), ("X-Mine", "kept")),
        )
        answer = await site.send(request)
    assert answer.status == 200
    assert http.find_header(answer.headers, "server-signature") == "s-0/r.7"
    (seen,) = stock.seen
    assert (seen.method, seen.target) == ("POST", request.target)
    assert seen.body == BODY
    assert stock.get_header("request-id") == "r.7"
    assert stock.get_header("host") == sites.HOST
    assert stock.get_header("x-mine") == "kept"
    assert stock.get_header("caller-service") == "shop"
    assert stock.get_header("expected-instance") == "s-0"
    assert 0 < int(stock.get_header("deadline-ms") or 0) <= 1000
    assert not [name for name, _ in seen.headers if "kumquatridge" in name]


@pytest.mark.parametrize(
    ("target", "host", "status"),
    [
        pytest.param("/shop/x", sites.HOST, 200, id="served"),
        pytest.param("/shop/x", f"{sites.HOST}:80", 200, id="with a port"),
        pytest.param("/shop", sites.HOST, 404, id="half a prefix"),
        pytest.param("/shopping/x", sites.HOST, 404, id="half a segment"),
        pytest.param("/x?/shop/", sites.HOST, 404, id="prefix in the query"),
        pytest.param("/shop/x", "other.example", 404, id="another host"),
    ],
)
async def test_route_is_found_by_host_and_path(
    target: str, host: str, status: int
) -> None:
    (shop,) = make_shops(1)
    async with sites.open_site(shop, routes=ROUTES) as site:
        request = http.Request(
            "GET",
            target,
            (("Host", host), ("Request-Id", "1")),
            call_body.EMPTY,
        )
        assert (await site.send(request)).status == status


Fails = sites.Behaviour


@pytest.mark.parametrize(
    ("path", "first", "other", "status", "arrivals"),
    [
        pytest.param("/shop/", Fails(), Fails(), 200, 1, id="good"),
        pytest.param(
            "/shop/", Fails(drops=True), Fails(), 200, 2, id="lost, repeated"
        ),
        pytest.param(
            "/buy/", Fails(drops=True), Fails(), 502, 1, id="lost, not safe"
        ),
        pytest.param(
            "/buy/",
            Fails(not_run=True, status=503),
            Fails(),
            200,
            2,
            id="refused by one",
        ),
        pytest.param(
            "/buy/",
            Fails(not_run=True, status=503),
            Fails(not_run=True, status=503),
            503,
            2,
            id="refused by both",
        ),
        pytest.param("/buy/", Fails(status=500), Fails(), 500, 1, id="failed"),
        pytest.param(
            "/buy/", Fails(status=503), Fails(), 502, 1, id="false promise"
        ),
        pytest.param(
            "/buy/", Fails(work_ms=1500), Fails(), 504, 1, id="too late"
        ),
    ],
)
async def test_what_becomes_of_a_failed_attempt(
    path: str,
    first: sites.Behaviour,
    other: sites.Behaviour,
    status: int,
    arrivals: int,
) -> None:
    shops = make_shops()
    async with sites.open_site(*shops, routes=ROUTES) as site:
        while not shops[0].seen:
            shops[0].behaviour, shops[1].behaviour = first, other
            for one in shops:
                one.seen.clear()
            answer = await site.send(sites.make_request(path, method="POST"))
    assert answer.status == status
    assert count_seen(shops) == arrivals
    has_signature = http.find_header(answer.headers, "server-signature")
    assert (has_signature is not None) == (status in (200, 500))
    if status == 503:
        assert http.find_header(answer.headers, "retry-after")


async def test_daemon_without_routes_promises_that_nothing_ran() -> None:
    (shop,) = make_shops(1)
    async with sites.open_site(shop, routes=ROUTES, is_published=False) as site:
        answer = await site.send(sites.make_request("/shop/x"))
        assert answer.status == 503
        assert http.find_header(answer.headers, "retry-after")
        assert await site.ask_ready(0) == 503
        await site.publish(*ROUTES)
        await site.wait_until_known()
        assert await site.ask_ready(0) == 200


@pytest.mark.parametrize("departs", [True, False])
async def test_nothing_is_sent_to_a_worker_that_leaves(departs: bool) -> None:
    shops = make_shops()
    async with sites.open_site(*shops, routes=ROUTES) as site:
        if departs:
            request = http.Request(
                "POST",
                "/api/Instances.Deregister/shop-0",
                (),
                call_body.EMPTY,
            )
            address = site.settings[0].announcement_address
            async with site.callers.send(address, request) as answer:
                assert answer.status == 200
        else:
            assert await site.report(0, state="draining", sequence=9) == 200
        for number in range(20):
            request = sites.make_request("/buy/x", request_id=f"r{number}")
            assert (await site.send(request, number % 2)).status == 200
    assert not shops[0].seen
    assert len(shops[1].seen) == 20


async def test_request_in_progress_ends_while_its_worker_leaves() -> None:
    (shop,) = make_shops(1)
    shop.behaviour = sites.Behaviour(work_ms=300)
    async with sites.open_site(shop, routes=ROUTES) as site:
        sent = asyncio.create_task(site.send(sites.make_request("/buy/x")))
        await sites.wait_until(lambda: bool(shop.seen))
        await site.report(0, state="draining", sequence=9)
        assert (await sent).status == 200


async def test_client_that_leaves_cancels_the_run() -> None:
    shop, stock = sites.Worker("shop-0", "shop"), sites.Worker("s-0", "stock")
    stock.behaviour = sites.Behaviour(work_ms=900)
    async with sites.open_site(shop, stock, routes=ROUTES) as site:
        sent = asyncio.create_task(site.send(sites.make_request("/stock/x")))
        await sites.wait_until(lambda: stock.running == 1)
        sent.cancel()
        await sites.wait_until(lambda: stock.cancelled == 1, 0.4)


async def test_daemon_that_stops_finishes_what_it_has() -> None:
    shop, stock = sites.Worker("shop-0", "shop"), sites.Worker("s-0", "stock")
    stock.behaviour = sites.Behaviour(work_ms=400)
    async with sites.open_site(shop, stock, routes=ROUTES) as site:
        sent = asyncio.create_task(site.send(sites.make_request("/stock/x")))
        await sites.wait_until(lambda: stock.running == 1)
        draining = asyncio.create_task(site.daemons[1].drain())
        other = asyncio.create_task(site.daemons[0].drain())
        late = await site.send(sites.make_request("/stock/y", request_id="2"))
        assert (await sent).status == 200
        assert late.status in (200, 503)
        await asyncio.gather(draining, other)


async def test_daemon_takes_nothing_late_in_its_stop() -> None:
    (shop,) = make_shops(1)
    shop.behaviour = sites.Behaviour(work_ms=4000)
    slow = sites.make_route("/slow/", ("shop", 1), timeoutS=5.0)
    async with sites.open_site(shop, routes=(slow,), grace_ms=5600.0) as site:
        request = sites.make_request("/slow/x", deadline_ms=5000)
        sent = asyncio.create_task(site.send(request))
        await sites.wait_until(lambda: shop.running == 1)
        draining = asyncio.create_task(site.daemons[0].drain())
        await asyncio.sleep(3.0)
        late = await site.send(sites.make_request("/slow/y", request_id="2"))
        assert late.status == 503
        assert http.find_header(late.headers, "retry-after") == "0.500"
        assert (await sent).status == 200
        await draining


async def test_daemon_stops_well_before_it_would_be_killed() -> None:
    (shop,) = make_shops(1)
    shop.behaviour = sites.Behaviour(work_ms=5000)
    slow = sites.make_route("/slow/", ("shop", 1), timeoutS=5.0)
    async with sites.open_site(shop, routes=(slow,), grace_ms=3600.0) as site:
        request = sites.make_request("/slow/x", deadline_ms=5000)
        sent = asyncio.create_task(site.send(request))
        await sites.wait_until(lambda: shop.running == 1)
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await site.daemons[0].drain()
        assert loop.time() - started_s <= 3.6 - 0.8
        sent.cancel()


async def test_shares_of_a_split_are_kept() -> None:
    shop, stock = sites.Worker("shop-0", "shop"), sites.Worker("s-0", "stock")
    split = sites.make_route("/both/", ("shop", 70), ("stock", 30))
    async with sites.open_site(shop, stock, routes=(split,)) as site:
        for number in range(40):
            request = sites.make_request("/both/x", request_id=f"r{number}")
            await site.send(request)
    counts = collections.Counter(
        {one.service: len(one.seen) for one in (shop, stock)}
    )
    assert counts == {"shop": 28, "stock": 12}


async def test_change_is_in_force_everywhere_in_time() -> None:
    shop, stock = sites.Worker("shop-0", "shop"), sites.Worker("s-0", "stock")
    async with sites.open_site(shop, stock, routes=ROUTES) as site:
        moved = sites.make_route("/shop/", ("stock", 1))
        await site.publish(moved)
        await asyncio.sleep(0.6)
        for number in range(2):
            answer = await site.send(sites.make_request("/shop/x"), number)
            assert answer.status == 200
    assert (len(shop.seen), len(stock.seen)) == (0, 2)


async def test_slots_are_never_exceeded() -> None:
    shop = sites.Worker("shop-0", "shop", slots=3)
    shop.behaviour = sites.Behaviour(work_ms=20)
    async with sites.open_site(shop, routes=ROUTES) as site:
        await site.report(0, sequence=1)
        await asyncio.gather(
            *(
                site.send(sites.make_request("/buy/x", request_id=f"r{number}"))
                for number in range(12)
            )
        )
    assert shop.most_running == 3


async def test_daemon_starts_while_the_store_is_away() -> None:
    shops = make_shops()
    async with sites.open_site(*shops, routes=ROUTES) as site:
        site.store.set_faults(platform_store.PlatformFaults(down=True))
        await site.restart_daemon(0)
        await sites.wait_until(
            lambda: site.daemons[-1].count_instances() > 0, 8.0
        )
        answer = await site.send(sites.make_request("/shop/x"))
        assert answer.status == 200


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff{", id="no JSON"),
        pytest.param(b"[]", id="a list"),
        pytest.param(b'{"address":"x"}', id="fields missing"),
        pytest.param(
            b'{"address":1,"info":{"service":"shop","maxConcurrency":1},'
            b'"status":{"state":"ready","sequence":5}}',
            id="another type",
        ),
        pytest.param(
            b'{"address":"x","info":{"service":"shop","maxConcurrency":1},'
            b'"status":{"state":"odd","sequence":5}}',
            id="unknown state",
        ),
    ],
)
async def test_report_that_cannot_be_read_changes_nothing(data: bytes) -> None:
    (shop,) = make_shops(1)
    async with sites.open_site(shop, routes=ROUTES) as site:
        assert await site.send_report(0, "shop-0", data) == 400
        answer = await site.send(sites.make_request("/shop/x"))
        assert answer.status == 200


async def test_request_that_crashes_workers_is_stopped_everywhere() -> None:
    shops = make_shops(3)
    async with sites.open_site(*shops, routes=ROUTES) as site:
        for one in shops:
            one.behaviour = sites.Behaviour(crashes=True)
        statuses = []
        for number in range(12):
            request = sites.make_request(
                "/buy/poison",
                method="POST",
                request_id=f"r{number}",
                body=BODY,
            )
            statuses.append((await site.send(request, number % 3)).status)
            await asyncio.sleep(0.4)
            for shop in shops:
                await shop.revive()
            await sites.wait_until(
                lambda: all(one.count_instances() == 3 for one in site.daemons)
            )
        assert count_seen(shops) <= 4
        assert statuses[-1] == 503
        good = await site.send(sites.make_request("/shop/other"))
        assert good.status == 200
