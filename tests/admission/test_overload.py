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
# The mean service time; most tests draw it from an exponential distribution.
SERVICE_MS = 20.0
SLOTS = 20
CAPACITY_PER_S = SLOTS * 1000.0 / SERVICE_MS


@dataclasses.dataclass(frozen=True, slots=True)
class Mix:
    """The mix of arriving calls, by importance, duration and depth.

    `critical_ratio` is the share of critical calls, `long_ratio` the share of
    calls on a route declared long-running. Calls that are not critical have one
    of the `other_importances`.
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
    """Returns the number of admitted calls that ended between two times."""
    return sum(
        result.refusal is None
        and from_s * 1000 <= result.ended_ms < to_s * 1000
        for result in results
    )


@dataclasses.dataclass(frozen=True, slots=True)
class OverloadCase:
    """Four seconds of demand, as a multiple of the capacity, and its mix.

    The cases give the `critical_ratio` of the mix without its name.
    `min_critical_served_ratio` is the share of critical calls that must be
    served. Where these alone are twice the capacity, half is the most possible.
    """

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
    # The overload lasts from 1 s to 5 s. Goodput is measured from half a second
    # after its start, and refusals must end within a second after its end.
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
        result
        for result in results
        if result.call.chain.importance is Importance.CRITICAL
    ]
    served = sum(result.refusal is None for result in critical)
    refused_late = [
        result
        for result in results
        if result.refusal and result.arrived_ms > 6000.0
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
    # A peak begins every 0.5 s and lasts 0.25 s; its first 50 ms are left out.
    starts_s = [peak * 0.5 + 0.05 for peak in range(8)]
    done = [count_done(results, start_s, start_s + 0.2) for start_s in starts_s]
    assert sum(done) >= 0.9 * CAPACITY_PER_S * 0.2 * len(done)
    # For a single peak, which has few calls, the margin is twice the standard
    # deviation of a Poisson count.
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
    # Equal seeds give both hops the same roots at the same times.
    admitted: list[set[str]] = []
    for depth, worker in enumerate(workers):
        make_call = make_call_factory(Mix(depth=depth), random.Random(7))
        results = await open_loop.send(
            worker, phases, make_call, random.Random(7)
        )
        admitted.append(
            {
                result.call.chain.root_id
                for result in results
                if not result.refusal
            }
        )
    admitted_by_both = admitted[0] & admitted[1]
    assert len(admitted_by_both) >= 0.9 * len(admitted[0])


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
    # `long_factor` is the service time of a long-running call in multiples of
    # that of a short one.
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
        # Short calls arrive at the same rate with and without long ones.
        rate_per_s = slots * 1000.0 / SERVICE_MS * short_ratio
        phases = [open_loop.Phase(rate_per_s / (1.0 - long_ratio), 8.0)]
        mix = Mix(0.0, long_ratio, other_importances=other_importances)
        return await open_loop.send(
            worker, phases, make_call_factory(mix, rng), rng
        )

    def get_short_p99_ms(results: list[open_loop.Result]) -> float:
        short_latencies_ms = [
            result.latency_ms
            for result in results
            if not result.call.policy.long_running and result.refusal is None
        ]
        return open_loop.get_percentile_ms(short_latencies_ms, 99)

    alone, mixed = await run(0.0), await run(0.05)
    long_results = [
        result for result in mixed if result.call.policy.long_running
    ]
    most_important = max(result.call.chain.importance for result in mixed)
    refused_short = [
        result
        for result in mixed
        if result.refusal
        and not result.call.policy.long_running
        and result.call.chain.importance == most_important
    ]
    assert get_short_p99_ms(mixed) <= 1.3 * get_short_p99_ms(alone)
    assert refused_short == []
    # The long-running calls get slots too. About 150 of them arrive at the
    # lower rate, and three times as many at the higher one.
    assert sum(result.refusal is None for result in long_results) >= 50


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
        (result.refusal.level > 0, result.refusal.limit)
        for result in results
        if type(result.refusal) is refusals.Overloaded
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
        is_immediate = clock.get_now_ms() == arrived_ms
        if refusal and is_critical and is_free and is_immediate:
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
