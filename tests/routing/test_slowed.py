"""Tail latency while a third of the workers is slowed for moments."""

import dataclasses
import random

import pytest

from kumquatridge import clock
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from tests import calls_factory
from tests.admission import open_loop
from tests.routing import fleet

INSTANCES = 6
MOMENT_MS = 500.0
MOMENTS = 6
SLOWED_FACTOR = 10.0


@pytest.mark.looptime
@pytest.mark.parametrize("idempotent", [True, False])
async def test_tail_latency(idempotent: bool) -> None:
    async def run(is_slowed: bool) -> tuple[float, int]:
        rng = random.Random(1)
        begun_ms = clock.get_now_ms()

        def get_service_ms(instance: str) -> float:
            service_ms = 10.0 + rng.expovariate(0.1)
            moment = int((clock.get_now_ms() - begun_ms) / MOMENT_MS)
            third = int(instance) % 3 == moment // MOMENTS % 3
            if is_slowed and moment % MOMENTS == 0 and third:
                return service_ms * SLOWED_FACTOR
            return service_ms

        members = [fleet.make_member(str(index)) for index in range(INSTANCES)]
        table = fleet.make_table(members)
        link = fleet.FleetLink(get_service_ms)
        senders = [fleet.Sender(table, link) for _ in range(3)]
        policy = dataclasses.replace(
            calls_factory.POLICY, idempotent=idempotent
        )

        def make() -> calls.Call:
            return calls_factory.make_call(
                root_id=str(rng.random()), policy=policy
            )

        sent = await fleet.load(senders, 600.0, 9.0, make, rng)
        latencies_ms = [
            one.latency_ms
            for one in sent
            if one.started_ms > MOMENT_MS * MOMENTS
        ]
        completed = sum(type(one.outcome) is outcomes.Completed for one in sent)
        p99_ms = open_loop.get_percentile_ms(latencies_ms, 99)
        return p99_ms, len(sent) - completed

    undisturbed_ms, _ = await run(False)
    slowed_ms, lost = await run(True)
    assert lost == 0
    assert slowed_ms <= 1.5 * undisturbed_ms
