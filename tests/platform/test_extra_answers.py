"""Answers that a faulty worker sends once more, late."""

import asyncio

import pytest

from kumquatridge.transport import messages as http
from tests.platform import deployment as deployments
from tests.platform import faulty_worker

AnswerPlan = faulty_worker.AnswerPlan
BUY = deployments.make_route(
    "/buy/", ("shop", 1), routeType="non_idempotent", maxAttempts=1
)


# Guards against a booking that runs twice: a copy of its refusal was taken for
# the answer to its next offer, which the worker was running.
async def test_copy_of_a_refusal_does_not_answer_the_next_offer() -> None:
    def choose_plan(request: faulty_worker.ReceivedRequest) -> AnswerPlan:
        # Health checks have no request id.
        is_first = request.request_id not in offered | {""}
        offered.add(request.request_id)
        return AnswerPlan(is_refused=is_first, is_copied=is_first)

    offered: set[str] = set()
    shop = faulty_worker.FaultyWorker("shop-0", "shop", choose_plan)
    shop.behaviour = deployments.Behaviour(work_ms=30)
    async with deployments.open_deployment(shop, routes=(BUY,)) as deployment:
        for number in range(4):
            answer = await deployment.send(
                deployments.make_request(
                    "/buy/x", method="POST", request_id=f"r{number}"
                )
            )
            assert answer.status == 200
            signature = http.find_header(answer.headers, "server-signature")
            assert signature == f"shop-0/r{number}"
        # Longer than the work on an offer that was repeated.
        await asyncio.sleep(0.1)
    ids = [run.request_id for run in shop.runs]
    assert ids == ["r0", "r1", "r2", "r3"]


HEALTH_ANSWER = faulty_worker.encode_answer(
    "200 OK", (("Instance-Id", "shop-0"), ("Server-Load", "0,0,8"))
)
REFUSAL = faulty_worker.encode_answer(
    "503 Service Unavailable", (("Not-Executed", "1"),)
)
MISDIRECTED = faulty_worker.encode_answer(
    "421 Misdirected Request", (("Instance-Id", "shop-9"),)
)
OTHER_ANSWER = faulty_worker.encode_answer(
    "200 OK", (("Request-Id", "r9"), ("Server-Signature", "shop-0/r9"))
)


# Guards against callers who get the answer to a health check, or to another
# request that had no id.
@pytest.mark.parametrize(
    ("plan", "status"),
    [
        pytest.param(AnswerPlan(), 200, id="no extra answer"),
        pytest.param(
            AnswerPlan(extra=HEALTH_ANSWER), 200, id="of a health check"
        ),
        pytest.param(AnswerPlan(extra=REFUSAL), 200, id="refusal without id"),
        pytest.param(AnswerPlan(extra=MISDIRECTED), 200, id="421 without id"),
        pytest.param(
            AnswerPlan(extra=OTHER_ANSWER), 200, id="of another request"
        ),
        pytest.param(AnswerPlan(is_signed=False), 502, id="unsigned success"),
    ],
)
async def test_caller_gets_only_the_answer_to_its_own_request(
    plan: AnswerPlan, status: int
) -> None:
    def choose_plan(request: faulty_worker.ReceivedRequest) -> AnswerPlan:
        return plan if request.request_id else AnswerPlan()

    shop = faulty_worker.FaultyWorker("shop-0", "shop", choose_plan)
    async with deployments.open_deployment(shop, routes=(BUY,)) as deployment:
        request = deployments.make_request(
            "/buy/x", method="POST", request_id="r0"
        )
        answer = await deployment.send(request)
    assert answer.status == status
    signature = http.find_header(answer.headers, "server-signature")
    assert signature == ("shop-0/r0" if status == 200 else None)
    assert [run.request_id for run in shop.runs] == ["r0"]
