"""Open-loop load on one controller with a worker of known behaviour."""

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

ServiceMs = Callable[[calls.Call, int], float]
MakeCall = Callable[[], calls.Call]


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """What became of one call; times since the start of the load."""

    call: calls.Call
    refusal: refusals.Refusal | None
    started_ms: float
    ended_ms: float

    @property
    def latency_ms(self) -> float:
        """From arrival to the end."""
        return self.ended_ms - self.started_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Phase:
    """Arrivals at a rate for a time."""

    rate_per_s: float
    duration_s: float


class GuardedWorker:
    """A controller and a worker whose times come from a function.

    `service_ms` gets the call and how many calls the worker runs.
    """

    def __init__(
        self,
        controller: admission_controller.AdmissionController,
        service_ms: ServiceMs,
    ) -> None:
        self.controller = controller
        self._service_ms = service_ms

    async def serve(self, call: calls.Call) -> refusals.Refusal | None:
        """Runs a call; returns the refusal if it was not run."""
        async with self.controller.admit(call) as verdict:
            match verdict:
                case admission_decisions.Refused(refusal):
                    return refusal
                case admission_decisions.Admitted():
                    service_ms = self._service_ms(
                        call, self.controller.in_progress
                    )
                    await asyncio.sleep(service_ms / 1000.0)
                    answer = outcomes.Completed(200, (), call_body.EMPTY)
                    self.controller.record_answer(call, service_ms, answer)
                    return None


async def send(
    worker: GuardedWorker,
    phases: Sequence[Phase],
    make_call: MakeCall,
    rng: random.Random,
) -> list[Result]:
    """Sends calls at random times and returns what became of each."""
    results: list[Result] = []
    begun_ms = clock.get_now_ms()

    async def run_one(call: calls.Call) -> None:
        started_ms = clock.get_now_ms() - begun_ms
        refusal = await worker.serve(call)
        ended_ms = clock.get_now_ms() - begun_ms
        results.append(Result(call, refusal, started_ms, ended_ms))

    async with asyncio.TaskGroup() as group:
        for phase in phases:
            until_ms = clock.get_now_ms() + phase.duration_s * 1000.0
            while clock.get_now_ms() < until_ms:
                await asyncio.sleep(rng.expovariate(phase.rate_per_s))
                group.create_task(run_one(make_call()))
    return results


def get_percentile_ms(latencies_ms: Sequence[float], percent: int) -> float:
    """Returns a percentile of some latencies."""
    ordered = sorted(latencies_ms)
    return ordered[min(len(ordered) - 1, len(ordered) * percent // 100)]
