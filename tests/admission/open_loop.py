"""Open-loop load on one controller with a simulated worker.

Calls arrive at random times, without waiting until earlier ones have ended.
"""

import asyncio
from collections.abc import Callable, Sequence
import dataclasses
import random

from kumquatridge import clock
from kumquatridge.admission import admission_decisions
from kumquatridge.admission import controller as admission_controller
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals

GetServiceMs = Callable[[calls.Call, int], float]
MakeCall = Callable[[], calls.Call]


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """The outcome of one call; times are relative to the start of the load.

    `refusal` is None if the call was admitted and served.
    """

    call: calls.Call
    refusal: refusals.Refusal | None
    arrived_ms: float
    ended_ms: float

    @property
    def latency_ms(self) -> float:
        """The time from the arrival of the call to its end."""
        return self.ended_ms - self.arrived_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """Poisson arrivals at a constant mean rate."""

    rate_per_s: float
    duration_s: float


class SimulatedWorker:
    """A simulated worker behind an admission controller.

    `get_service_ms` returns the service time of a call, given the call and the
    number of calls in progress.
    """

    def __init__(
        self,
        controller: admission_controller.AdmissionController,
        get_service_ms: GetServiceMs,
    ) -> None:
        self.controller = controller
        self._get_service_ms = get_service_ms

    async def serve(self, call: calls.Call) -> refusals.Refusal | None:
        """Runs a call; returns why admission refused it, or None if it ran."""
        async with self.controller.admit(call) as decision:
            match decision:
                case admission_decisions.Refused(refusal):
                    return refusal
                case admission_decisions.Admitted():
                    service_ms = self._get_service_ms(
                        call, self.controller.in_progress
                    )
                    await asyncio.sleep(service_ms / 1000.0)
                    answer = outcomes.Completed(200, (), call_body.EMPTY)
                    self.controller.record_answer(call, service_ms, answer)
                    return None


async def send(
    worker: SimulatedWorker,
    phases: Sequence[Phase],
    make_call: MakeCall,
    rng: random.Random,
) -> list[Result]:
    """Sends calls in one phase after the other.

    Returns the results in the order in which the calls ended.
    """
    results: list[Result] = []
    load_started_ms = clock.get_now_ms()

    async def run_call(call: calls.Call) -> None:
        arrived_ms = clock.get_now_ms() - load_started_ms
        refusal = await worker.serve(call)
        ended_ms = clock.get_now_ms() - load_started_ms
        results.append(Result(call, refusal, arrived_ms, ended_ms))

    async with asyncio.TaskGroup() as group:
        for phase in phases:
            until_ms = clock.get_now_ms() + phase.duration_s * 1000.0
            while clock.get_now_ms() < until_ms:
                await asyncio.sleep(rng.expovariate(phase.rate_per_s))
                group.create_task(run_call(make_call()))
    return results


def get_percentile_ms(latencies_ms: Sequence[float], percent: int) -> float:
    """Returns a percentile of the latencies, without interpolation."""
    ordered = sorted(latencies_ms)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]
