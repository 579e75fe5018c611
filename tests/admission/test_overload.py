"""Admission under load: goodput, recovery and long-running calls."""

import dataclasses
import random

import pytest

from kumquatridge import clock
from kumquatridge.admission import controller as admission_controller
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import refusals
from tests import calls_factory
from tests.admission import open_loop

Importance = call_importance.Importance
SERVICE_MS = 20.0
SLOTS = 20
CAPACITY_PER_S = SLOTS * 1000.0 / SERVICE_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """The mix of arriving calls, by importance, duration and depth.

    Calls that are not critical have one of the `other_importances`.
    """

    critical_ratio: float = 0.1
    long_ratio: float = 0.0
    depth: int = 0
    other_importances: tuple[Importance, ...] = (
        Importance.NORMAL,
        Importance.SHEDDABLE,
    )


def make_call_factory(mix: Mix, rng: random.Random) -> open_loop.MakeCall:
    def make() -> calls.Call:
        is_critical = rng.random() < mix.critical_ratio
        is_long = rng.random() < mix.long_ratio
        return calls_factory.make_call(
            importance=Importance.CRITICAL
            if is_critical
            else rng.choice(mix.other_importances),
            root_id=str(rng.random()),
            depth=mix.depth,
            policy=calls_factory.LONG_RUNNING_POLICY
            if is_long
            else calls_factory.POLICY,
        )

    return make


def count_done(
    results: list[open_loop.Result], from_s: float, to_s: float
) -> int:
    return sum(
        one.refusal is None and from_s * 1000 <= one.ended_ms < to_s * 1000
        for one in results
    )


@dataclasses.dataclass(frozen=True, slots=True)
class OverloadCase:
    """Four seconds of demand, as a multiple of the capacity."""

    demand_ratio: float
    mix: Mix
    min_critical_served_ratio: float


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            OverloadCase(2.0, Mix(0.1), 0.999), id="twice the capacity"
        ),
        pytest.param(
            OverloadCase(4.0, Mix(0.1), 0.999), id="four times the capacity"
        ),
        pytest.param(
            OverloadCase(2.0, Mix(0.1, depth=3), 0.999), id="nested calls"
        ),
        pytest.param(
            OverloadCase(2.0, Mix(0.4), 0.999),
            id="critical calls within capacity",
        ),
        pytest.param(
            OverloadCase(2.0, Mix(1.0), 0.45), id="critical calls only"
        ),
    ],
)
async def test_overload_keeps_goodput_and_refusals_end_after_it(
    case: OverloadCase,
) -> None:
    rng = random.Random(1)
    controller = admission_controller.AdmissionController(SLOTS)
    worker = open_loop.SimulatedWorker(
        controller, lambda _, __: rng.expovariate(1.0 / SERVICE_MS)
    )
    phases = [
        open_loop.Phase(CAPACITY_PER_S * 0.7, 1.0),
        open_loop.Phase(CAPACITY_PER_S * case.demand_ratio, 4.0),
        open_loop.Phase(CAPACITY_PER_S * 0.7, 2.0),
    ]
    results = await open_loop.send(
        worker, phases, make_call_factory(case.mix, rng), rng
    )
    goodput_ratio = count_done(results, 1.5, 5.0) / 3.5 / CAPACITY_PER_S
    critical = [
        one
        for one in results
        if one.call.chain.importance is Importance.CRITICAL
    ]
    served = sum(one.refusal is None for one in critical)
    refused_late = [
        one for one in results if one.refusal and one.started_ms > 6000.0
    ]
    assert goodput_ratio >= 0.9
    assert served >= case.min_critical_served_ratio * len(critical)
    assert refused_late == []


@pytest.mark.looptime
async def test_goodput_is_maintained_at_load_peaks() -> None:
    rng = random.Random(1)
    controller = admission_controller.AdmissionController(SLOTS)
    worker = open_loop.SimulatedWorker(
        controller, lambda _, __: rng.expovariate(1.0 / SERVICE_MS)
    )
    phases = [
        open_loop.Phase(CAPACITY_PER_S * ratio, 0.25)
        for _ in range(8)
        for ratio in (2.0, 0.5)
    ]
    results = await open_loop.send(
        worker, phases, make_call_factory(Mix(), rng), rng
    )
    starts_s = [peak * 0.5 + 0.05 for peak in range(8)]
    done = [count_done(results, start_s, start_s + 0.2) for start_s in starts_s]
    assert sum(done) >= 0.9 * CAPACITY_PER_S * 0.2 * len(done)
    # A single peak is short; the margin is twice the standard deviation of a
    # Poisson count.
    assert min(done) >= 0.9 * CAPACITY_PER_S * 0.2 - 2 * (min(done) ** 0.5)


@pytest.mark.looptime
async def test_two_hops_refuse_the_same_roots() -> None:
    rng = random.Random(1)
    workers = [
        open_loop.SimulatedWorker(
            admission_controller.AdmissionController(SLOTS),
            lambda _, __: rng.expovariate(1.0 / SERVICE_MS),
        )
        for _ in range(2)
    ]
    phases = [open_loop.Phase(CAPACITY_PER_S * 2.0, 4.0)]
    admitted: list[set[str]] = []
    for depth, worker in enumerate(workers):
        make_call = make_call_factory(Mix(depth=depth), random.Random(7))
        results = await open_loop.send(
            worker, phases, make_call, random.Random(7)
        )
        admitted.append(
            {one.call.chain.root_id for one in results if not one.refusal}
        )
    both = admitted[0] & admitted[1]
    assert len(both) >= 0.9 * len(admitted[0])


@pytest.mark.looptime
@pytest.mark.parametrize("short_ratio", [0.2, 0.6])
@pytest.mark.parametrize(
    "other_importances",
    [
        pytest.param((Importance.NORMAL,), id="one importance"),
        pytest.param(
            (Importance.NORMAL, Importance.SHEDDABLE), id="two importances"
        ),
    ],
)
async def test_short_calls_are_not_delayed_by_long_running_ones(
    other_importances: tuple[Importance, ...], short_ratio: float
) -> None:
    slots, long_factor = 35, 50

    async def run(long_ratio: float) -> list[open_loop.Result]:
        rng = random.Random(1)
        worker = open_loop.SimulatedWorker(
            admission_controller.AdmissionController(slots),
            lambda call, _: (
                rng.expovariate(1.0 / SERVICE_MS)
                * (long_factor if call.policy.long_running else 1)
            ),
        )
        rate_per_s = slots * 1000.0 / SERVICE_MS * short_ratio
        phases = [open_loop.Phase(rate_per_s / (1.0 - long_ratio), 8.0)]
        mix = Mix(0.0, long_ratio, other_importances=other_importances)
        return await open_loop.send(
            worker, phases, make_call_factory(mix, rng), rng
        )

    def get_short_p99_ms(results: list[open_loop.Result]) -> float:
        short = [
            one.latency_ms
            for one in results
            if not one.call.policy.long_running and one.refusal is None
        ]
        return open_loop.get_percentile_ms(short, 99)

    alone, mixed = await run(0.0), await run(0.05)
    long = [one for one in mixed if one.call.policy.long_running]
    most_important = max(one.call.chain.importance for one in mixed)
    refused_short = [
        one
        for one in mixed
        if one.refusal
        and not one.call.policy.long_running
        and one.call.chain.importance == most_important
    ]
    assert get_short_p99_ms(mixed) <= 1.3 * get_short_p99_ms(alone)
    assert refused_short == []
    assert sum(one.refusal is None for one in long) >= 50


@pytest.mark.looptime
async def test_overload_refusal_carries_level_and_limit() -> None:
    rng = random.Random(1)
    controller = admission_controller.AdmissionController(SLOTS)
    worker = open_loop.SimulatedWorker(controller, lambda _, __: SERVICE_MS)
    phases = [open_loop.Phase(CAPACITY_PER_S * 3.0, 1.0)]
    results = await open_loop.send(
        worker, phases, make_call_factory(Mix(), rng), rng
    )
    levels = {
        (one.refusal.level > 0, one.refusal.limit)
        for one in results
        if type(one.refusal) is refusals.Overloaded
    }
    assert levels == {(True, SLOTS)}


class FreeSlotWorker(open_loop.SimulatedWorker):
    """Counts critical calls refused without a wait while a slot was free."""

    refused_with_free_slot = 0

    async def serve(self, call: calls.Call) -> refusals.Refusal | None:
        """Runs a call, or returns the reason why admission refused it."""
        is_free = self.controller.in_progress < self.controller.limit
        arrived_ms = clock.get_now_ms()
        refusal = await super().serve(call)
        is_critical = call.chain.importance is Importance.CRITICAL
        is_at_once = clock.get_now_ms() == arrived_ms
        if refusal and is_critical and is_free and is_at_once:
            self.refused_with_free_slot += 1
        return refusal


@pytest.mark.looptime
@pytest.mark.parametrize("slots", [4, 20])
@pytest.mark.parametrize("demand_ratio", [1.1, 2.0])
async def test_no_critical_call_is_refused_while_a_slot_is_free(
    slots: int, demand_ratio: float
) -> None:
    rng = random.Random(1)
    worker = FreeSlotWorker(
        admission_controller.AdmissionController(slots),
        lambda _, __: rng.expovariate(1.0 / SERVICE_MS),
    )
    rate_per_s = slots * 1000.0 / SERVICE_MS * demand_ratio
    phases = [open_loop.Phase(rate_per_s, 2.0)]
    await open_loop.send(worker, phases, make_call_factory(Mix(0.9), rng), rng)
    assert worker.refused_with_free_slot == 0
