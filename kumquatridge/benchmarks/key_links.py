"""Worker and peer links in the simulation of idempotency keys."""

import asyncio
from collections.abc import AsyncIterator, Set
import contextlib
import dataclasses
from typing import TYPE_CHECKING

from kumquatridge import clock
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.membership import member as members

if TYPE_CHECKING:
    from kumquatridge.benchmarks import key_processes
    from kumquatridge.benchmarks import key_simulation

MAX_SERVICE_S = 0.2
MAX_NAIVE_ATTEMPTS = 3


class SimulatedWorker:
    """Worker of a process: runs or refuses a call, or loses its answer."""

    def __init__(
        self,
        simulation: "key_simulation.KeySimulation",
        process: "key_processes.Process",
    ) -> None:
        self._simulation = simulation
        self._process = process

    @contextlib.asynccontextmanager
    async def serve(self, call: calls.Call) -> AsyncIterator[outcomes.Outcome]:
        """Runs a call; the process may be paused before the run."""
        simulation = self._simulation
        await simulation.delay()
        await self._process.running.wait()
        if simulation.random.random() < simulation.refusal_ratio:
            yield outcomes.NotRun(refusals.Overloaded(3, 1, 0))
            return
        simulation.record_run(call, self._process.instance)
        await asyncio.sleep(simulation.random.random() * MAX_SERVICE_S)
        await self._process.running.wait()
        if simulation.is_message_lost():
            yield outcomes.Unknown("lost", worker_lost=True)
        else:
            yield outcomes.Completed(200, (), simulation.make_answer(call))


class NaivePath:
    """Path without at-most-once decisions: runs and retries every call."""

    def __init__(self, worker: SimulatedWorker) -> None:
        self._worker = worker

    @contextlib.asynccontextmanager
    async def serve(self, call: calls.Call) -> AsyncIterator[outcomes.Outcome]:
        """Runs a call, at most MAX_NAIVE_ATTEMPTS times."""
        for _ in range(MAX_NAIVE_ATTEMPTS):
            async with self._worker.serve(call) as outcome:
                match outcome:
                    case outcomes.Completed():
                        break
                    case _:
                        pass
        yield outcome


class NoOtherInstances:
    """A dispatcher that finds no other instance."""

    @contextlib.asynccontextmanager
    async def dispatch(
        self, call: calls.Call, excluded: Set[str] = frozenset()
    ) -> AsyncIterator[outcomes.Outcome]:
        """Refuses the call with `NoInstance`."""
        yield outcomes.NotRun(refusals.NoInstance(call.service, 0))


class SimulatedPeerLink:
    """Simulated link from one process to the others."""

    def __init__(
        self,
        simulation: "key_simulation.KeySimulation",
        process: "key_processes.Process",
    ) -> None:
        self._simulation = simulation
        self._process = process

    def send(
        self, call: calls.Call, member: members.Member
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call in the same way as to a home."""
        return self.send_to_home(call, member)

    @contextlib.asynccontextmanager
    async def send_to_home(
        self, call: calls.Call, member: members.Member
    ) -> AsyncIterator[outcomes.Outcome]:
        """Sends a call to the current process of an instance."""
        simulation = self._simulation
        sent_ms = clock.get_now_ms()
        call = dataclasses.replace(
            call,
            key_age_ms=(call.key_age_ms or 0) + int(sent_ms - call.received_ms),
        )
        await simulation.delay()
        target = simulation.processes.get(member.instance)
        if target is None:
            yield outcomes.NotRun(refusals.Unreachable(member.instance))
            return
        if (
            simulation.is_cut(self._process, target)
            or simulation.is_message_lost()
        ):
            yield outcomes.Unknown("request lost")
            return
        outcome = await simulation.run_call(target, target.path.serve, call)
        await simulation.delay()
        if (
            simulation.is_cut(self._process, target)
            or simulation.is_message_lost()
        ):
            yield outcomes.Unknown("answer lost")
        else:
            yield outcome
