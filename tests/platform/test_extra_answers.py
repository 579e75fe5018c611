"""Answers that a faulty worker sends once more, late."""

import asyncio

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
    assert shop.runs == ["r0", "r1", "r2", "r3"]
