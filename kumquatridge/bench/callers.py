"""Callers from outside: they arrive, resend and give up."""

import asyncio
import contextlib
import dataclasses
import random

from kumquatridge import clock
from kumquatridge.bench import capacity
from kumquatridge.bench import demands
from kumquatridge.bench import deployments
from kumquatridge.bench import fleets
from kumquatridge.bench import jobs
from kumquatridge.bench import process
from kumquatridge.bench import records as bench_records
from kumquatridge.bench import scenario
from kumquatridge.bench import virtual_time
from kumquatridge.calls import outcomes

ATTEMPT_TIMEOUT_S = 10.0
PAUSE_SPREAD_RATIO = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Ending:
    """How one attempt ended; `name` is for the report."""

    name: str
    is_good: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Origin:
    """Where a request comes from and since when it is wanted."""

    made_ms: float
    data_centre: str


_UNFINISHED = Ending("unfinished", is_good=False)
_REFUSED = Ending("connection refused", is_good=False)
_LOST = Ending("connection lost", is_good=False)
_TIMED_OUT = Ending("caller timed out", is_good=False)


class Callers:
    """Makes the demand of a scenario and keeps track of each request."""

    def __init__(
        self,
        script: scenario.Scenario,
        fleet: fleets.Fleet,
        environment: fleets.Environment,
    ) -> None:
        self._script = script
        self._fleet = fleet
        self._book = environment.book
        self._records = environment.records
        self._random = random.Random(f"{environment.seed}/callers")
        self._chains = {one.name: one for one in script.deployment.chains}
        self._number = 0
        self._reachable = {
            centre: [
                one for one in fleet.instances if one.data_centre == centre
            ]
            for centre in script.deployment.data_centres
        }

    async def run(self) -> None:
        """Sends all demand; cuts off what has not ended with the run."""
        with contextlib.suppress(TimeoutError):
            async with (
                asyncio.timeout_at(self._script.duration_ms / 1000.0),
                asyncio.TaskGroup() as requests,
            ):
                for demand in self._script.demands:
                    requests.create_task(self._run_demand(demand, requests))

    async def _run_demand(
        self, demand: demands.Demand, requests: asyncio.TaskGroup
    ) -> None:
        await virtual_time.sleep_until(demand.span.starts_ms)
        capacity_per_s = capacity.get_rate_per_s(
            self._script.deployment, demand.mix
        )
        names = [share.chain for share in demand.mix]
        weights = [share.weight for share in demand.mix]
        while (now_ms := clock.get_now_ms()) < demand.span.ends_ms:
            rate_per_s = get_rate_per_s(demand, now_ms, capacity_per_s)
            name = self._random.choices(names, weights)[0]
            self._number += 1
            requests.create_task(
                self._request(self._chains[name], self._number)
            )
            await asyncio.sleep(self._random.expovariate(rate_per_s))

    async def _request(self, chain: deployments.Chain, number: int) -> None:
        arrived_ms = clock.get_now_ms()
        centres = self._script.deployment.data_centres
        origin = _Origin(arrived_ms, self._random.choice(centres))
        callers = self._script.callers
        attempts = 0
        ending = _UNFINISHED
        try:
            while attempts <= callers.resends and not ending.is_good:
                if attempts:
                    await self._pause(callers)
                attempts += 1
                ending = await self._attempt(chain, number, origin)
        finally:
            self._records.finished.append(
                bench_records.Finished(
                    chain.name,
                    arrived_ms,
                    clock.get_now_ms(),
                    ending.is_good,
                    attempts,
                    ending.name,
                )
            )

    async def _pause(self, callers: demands.Callers) -> None:
        spread = self._random.uniform(
            1 - PAUSE_SPREAD_RATIO, 1 + PAUSE_SPREAD_RATIO
        )
        await asyncio.sleep(callers.pause_ms * spread / 1000.0)

    async def _attempt(
        self, chain: deployments.Chain, number: int, origin: _Origin
    ) -> Ending:
        is_double = self._script.callers.double_ratio > self._random.random()
        if not is_double:
            return await self._send(chain, number, origin)
        endings = await asyncio.gather(
            self._send(chain, number, origin),
            self._send(chain, number, origin),
        )
        return max(endings, key=lambda ending: ending.is_good)

    async def _send(
        self, chain: deployments.Chain, number: int, origin: _Origin
    ) -> Ending:
        job = self._book.make_root(chain, number, origin.made_ms)
        instance = self._random.choice(self._reachable[origin.data_centre])
        delay_s = self._script.deployment.caller_delay_ms / 1000.0
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                await asyncio.sleep(delay_s)
                outcome = await instance.process.run(instance.send(job))
                await asyncio.sleep(delay_s)
        except TimeoutError:
            return _TIMED_OUT
        except process.ProcessDownError:
            return _REFUSED
        except process.ProcessLostError:
            return _LOST
        self._records.note_outcome(job, outcome)
        return Ending(_name_outcome(outcome), jobs.is_success(outcome))


def get_rate_per_s(
    demand: demands.Demand, now_ms: float, capacity_per_s: float
) -> float:
    """Returns the rate of new requests at a time."""
    match demand.rate:
        case demands.OfCapacity(ratio):
            return ratio * capacity_per_s
        case demands.Absolute(per_s):
            return per_s
        case demands.Swing(low_ratio, high_ratio, period_ms):
            phase = (now_ms - demand.span.starts_ms) % period_ms / period_ms
            height = 1 - abs(2 * phase - 1)
            ratio = low_ratio + (high_ratio - low_ratio) * height
            return ratio * capacity_per_s


def _name_outcome(outcome: outcomes.Outcome) -> str:
    match outcome:
        case outcomes.Completed(status=status):
            return f"status {status}"
        case outcomes.NotRun(refusal):
            return refusal.code
        case outcomes.Failed():
            return "failed"
        case outcomes.Unknown():
            return "unknown"
