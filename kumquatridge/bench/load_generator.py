"""Load generator: external callers that send and resend requests."""

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

# Time after which a caller gives up an attempt.
ATTEMPT_TIMEOUT_S = 10.0
# Largest deviation from the pause before a resend, relative to the pause.
RESEND_JITTER_RATIO = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptResult:
    """Result of one attempt of a caller.

    `name` goes into `records.FinishedRequest.outcome_name`.
    """

    name: str
    is_success: bool


@dataclasses.dataclass(frozen=True, slots=True)
class _Origin:
    """Creation time of a request and the data centre of its caller."""

    created_ms: float
    data_centre: str


# Of a request that is in progress when the run ends.
_UNFINISHED = AttemptResult("unfinished", is_success=False)
_REFUSED = AttemptResult("connection refused", is_success=False)
_LOST = AttemptResult("connection lost", is_success=False)
_TIMED_OUT = AttemptResult("caller timed out", is_success=False)


class LoadGenerator:
    """Generates the demand of a scenario and records each request."""

    def __init__(
        self,
        script: scenario.Scenario,
        fleet: fleets.Fleet,
        environment: fleets.Environment,
    ) -> None:
        self._script = script
        self._fleet = fleet
        self._job_registry = environment.job_registry
        self._records = environment.records
        self._random = random.Random(f"{environment.seed}/callers")
        self._chains = {chain.name: chain for chain in script.deployment.chains}
        self._request_count = 0
        self._instances_by_centre = {
            centre: [
                instance
                for instance in fleet.instances
                if instance.data_centre == centre
            ]
            for centre in script.deployment.data_centres
        }

    async def run(self) -> None:
        """Sends all requests; cancels those in progress when the run ends."""
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
        capacity_per_s = capacity.get_capacity_per_s(
            self._script.deployment, demand.mix
        )
        names = [share.chain for share in demand.mix]
        weights = [share.weight for share in demand.mix]
        while (now_ms := clock.get_now_ms()) < demand.span.ends_ms:
            rate_per_s = get_rate_per_s(demand, now_ms, capacity_per_s)
            name = self._random.choices(names, weights)[0]
            self._request_count += 1
            requests.create_task(
                self._run_request(self._chains[name], self._request_count)
            )
            await asyncio.sleep(self._random.expovariate(rate_per_s))

    async def _run_request(self, chain: deployments.Chain, number: int) -> None:
        arrived_ms = clock.get_now_ms()
        centres = self._script.deployment.data_centres
        origin = _Origin(arrived_ms, self._random.choice(centres))
        callers = self._script.callers
        attempts = 0
        result = _UNFINISHED
        try:
            while attempts <= callers.resends and not result.is_success:
                if attempts:
                    await self._wait_before_resend(callers)
                attempts += 1
                result = await self._attempt(chain, number, origin)
        finally:
            self._records.finished.append(
                bench_records.FinishedRequest(
                    chain.name,
                    arrived_ms,
                    clock.get_now_ms(),
                    result.is_success,
                    attempts,
                    result.name,
                )
            )

    async def _wait_before_resend(
        self, callers: demands.CallerBehaviour
    ) -> None:
        jitter = self._random.uniform(
            1 - RESEND_JITTER_RATIO, 1 + RESEND_JITTER_RATIO
        )
        await asyncio.sleep(callers.pause_ms * jitter / 1000.0)

    async def _attempt(
        self, chain: deployments.Chain, number: int, origin: _Origin
    ) -> AttemptResult:
        """Makes one attempt, which may be sent twice.

        It succeeds if either of the two calls does.
        """
        is_duplicated = (
            self._script.callers.duplicate_ratio > self._random.random()
        )
        if not is_duplicated:
            return await self._send(chain, number, origin)
        results = await asyncio.gather(
            self._send(chain, number, origin),
            self._send(chain, number, origin),
        )
        return max(results, key=lambda result: result.is_success)

    async def _send(
        self, chain: deployments.Chain, number: int, origin: _Origin
    ) -> AttemptResult:
        job = self._job_registry.make_root(chain, number, origin.created_ms)
        instance = self._random.choice(
            self._instances_by_centre[origin.data_centre]
        )
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
        except process.ProcessKilledError:
            return _LOST
        self._records.record_outcome(job, outcome)
        return AttemptResult(
            _describe_outcome(outcome), jobs.is_success(outcome)
        )


def get_rate_per_s(
    demand: demands.Demand, now_ms: float, capacity_per_s: float
) -> float:
    """Returns the rate of new requests at `now_ms`, in requests per second."""
    match demand.rate:
        case demands.CapacityMultiple(ratio):
            return ratio * capacity_per_s
        case demands.AbsoluteRate(per_s):
            return per_s
        case demands.TriangleWave(low_ratio, high_ratio, period_ms):
            phase = (now_ms - demand.span.starts_ms) % period_ms / period_ms
            # 0 at the start and end of each period, 1 in its middle.
            height = 1 - abs(2 * phase - 1)
            ratio = low_ratio + (high_ratio - low_ratio) * height
            return ratio * capacity_per_s


def _describe_outcome(outcome: outcomes.Outcome) -> str:
    match outcome:
        case outcomes.Completed(status=status):
            return f"status {status}"
        case outcomes.NotRun(refusal):
            return refusal.code
        case outcomes.Failed():
            return "failed"
        case outcomes.Unknown():
            return "unknown"
