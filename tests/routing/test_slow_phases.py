"""Tail latency while a third of the workers is slow for short phases.

In the first phase of each cycle one third of the workers is slow, another third
in the next cycle.
"""

import dataclasses
import random

import pytest

from kumquatridge import clock
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from tests import calls_factory
from tests.admission import open_loop
from tests.routing import fleet

# Two instances for each third.
INSTANCES = 6
PHASE_MS = 500.0
PHASES_PER_CYCLE = 6
SLOWED_FACTOR = 10.0


@pytest.mark.looptime
@pytest.mark.parametrize("idempotent", [True, False])
async def test_slow_phases_raise_p99_by_half_at_most(idempotent: bool) -> None:
    async def run(is_slowed: bool) -> tuple[float, int]:
        """Returns the p99 latency and the number of incomplete calls."""
        rng = random.Random(1)
        run_started_ms = clock.get_now_ms()

        def get_service_ms(instance: str) -> float:
            # A mean of 20 ms and a minimum of 10 ms.
            service_ms = 10.0 + rng.expovariate(0.1)
            phase = int((clock.get_now_ms() - run_started_ms) / PHASE_MS)
            is_in_slow_third = (
                int(instance) % 3 == phase // PHASES_PER_CYCLE % 3
            )
            if is_slowed and phase % PHASES_PER_CYCLE == 0 and is_in_slow_third:
                return service_ms * SLOWED_FACTOR
            return service_ms

        members = [fleet.make_member(str(index)) for index in range(INSTANCES)]
        table = fleet.make_table(members)
        link = fleet.FleetLink(get_service_ms)
        senders = [fleet.Sender(table, link) for _ in range(3)]
        policy = dataclasses.replace(
            calls_factory.POLICY, idempotent=idempotent
        )

        def make_call() -> calls.Call:
            return calls_factory.make_call(
                root_id=str(rng.random()), policy=policy
            )

        # 600 calls per second for 9 s, three cycles.
        sent = await fleet.run_load(senders, 600.0, 9.0, make_call, rng)
        latencies_ms = [
            sent_call.latency_ms
            for sent_call in sent
            # The first cycle is excluded as warm-up.
            if sent_call.started_ms > PHASE_MS * PHASES_PER_CYCLE
        ]
        completed_count = sum(
            type(sent_call.outcome) is outcomes.Completed for sent_call in sent
        )
        p99_ms = open_loop.get_percentile_ms(latencies_ms, 99)
        return p99_ms, len(sent) - completed_count

    baseline_p99_ms, _ = await run(False)
    slowed_p99_ms, incomplete_count = await run(True)
    assert incomplete_count == 0
    assert slowed_p99_ms <= 1.5 * baseline_p99_ms
