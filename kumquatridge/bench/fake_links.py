"""Stand-ins for the links from a daemon to its worker and other daemons."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
import contextlib
import dataclasses
import functools
import math
from typing import Any, TYPE_CHECKING, TypeVar

from kumquatridge import clock
from kumquatridge.bench import errors
from kumquatridge.bench import fault_types
from kumquatridge.bench import jobs
from kumquatridge.bench import process as bench_process
from kumquatridge.callpath import service_exchange
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.membership import member as members

if TYPE_CHECKING:
    from kumquatridge.bench import product_instance

T = TypeVar("T")

LOST_MESSAGE_WAIT_S = 3600.0
# Limits one exchange of updates between two daemons.
UPDATE_TIMEOUT_S = 2.0


class FakeWorkerLink:
    """Sends calls to the stand-in of the local worker."""

    def __init__(self, instance: "product_instance.ProductInstance") -> None:
        self._instance = instance

    @contextlib.asynccontextmanager
    async def send(
        self, call: calls.Call, address: str, token: str
    ) -> AsyncIterator[outcomes.Outcome]:
        """Sends a call; see `callpath.links.WorkerLink`."""
        yield await self._run(call, token)

    async def _run(self, call: calls.Call, token: str) -> outcomes.Outcome:
        instance = self._instance
        await instance.process.wait_while_paused()
        job = instance.environment.job_registry.find(call.headers)

        async def send_child(child: jobs.Job) -> outcomes.Outcome:
            return await instance.send_from_worker(child, token)

        instance.environment.records.record_dispatch(
            instance.name, call.chain.importance
        )
        try:
            async with asyncio.timeout(call.chain.get_remaining_ms() / 1000.0):
                outcome = await instance.worker.process.run(
                    instance.worker.handle(job, send_child)
                )
                await instance.process.wait_while_paused()
                return outcome
        except TimeoutError:
            return outcomes.Unknown(
                "no answer before the deadline", timed_out=True
            )
        except bench_process.ProcessDownError:
            return outcomes.NotRun(refusals.Unreachable(instance.name))
        except bench_process.ProcessKilledError:
            return outcomes.Unknown(
                "connection lost after the call was sent", worker_lost=True
            )


# Handles a call at the daemon that receives it.
_Serve = Callable[[calls.Call], Coroutine[Any, Any, outcomes.Outcome]]


class FakePeerLink:
    """Sends calls to the daemons of other simulated instances."""

    def __init__(self, source: "product_instance.ProductInstance") -> None:
        self._source = source

    @contextlib.asynccontextmanager
    async def send(
        self, call: calls.Call, member: members.Member
    ) -> AsyncIterator[outcomes.Outcome]:
        """Sends a call; see `callpath.links.PeerLink`."""
        target = self._source.fleet.find(member.instance)
        async with self._deliver(call, target, target.serve) as outcome:
            yield outcome

    @contextlib.asynccontextmanager
    async def send_to_home(
        self, call: calls.Call, member: members.Member
    ) -> AsyncIterator[outcomes.Outcome]:
        """Sends a call to the home of its idempotency key.

        The home gets the key's age including the time for which this daemon
        held the call. See `callpath.links.PeerLink`.
        """
        target = self._source.fleet.find(member.instance)
        held_ms = math.ceil(clock.get_now_ms() - call.received_ms)
        aged = dataclasses.replace(
            call, key_age_ms=(call.key_age_ms or 0) + held_ms
        )
        async with self._deliver(aged, target, target.serve_home) as outcome:
            yield outcome

    @contextlib.asynccontextmanager
    async def _deliver(
        self,
        call: calls.Call,
        target: "product_instance.ProductInstance",
        serve: _Serve,
    ) -> AsyncIterator[outcomes.Outcome]:
        try:
            async with asyncio.timeout(call.chain.get_remaining_ms() / 1000.0):
                outcome = await self._transmit(call, target, serve)
        except TimeoutError:
            outcome = outcomes.Unknown(
                "no answer before the deadline", timed_out=True
            )
        except bench_process.ProcessDownError:
            outcome = outcomes.NotRun(
                refusals.Unreachable(target.name), call.chain.retry_allowance
            )
        except bench_process.ProcessKilledError:
            outcome = outcomes.Unknown("connection lost after sending")
        yield outcome

    async def _transmit(
        self,
        call: calls.Call,
        target: "product_instance.ProductInstance",
        serve: _Serve,
    ) -> outcomes.Outcome:
        outcome = await _transmit(
            self._source, target, functools.partial(serve, call)
        )
        reports = self._source.environment.network.reports
        return reports.forward(target.name, outcome)


class FakeServiceLink:
    """Sends updates between the daemons of one service."""

    def __init__(self, source: "product_instance.ProductInstance") -> None:
        self._source = source

    async def exchange(
        self, address: str, update: service_exchange.ServiceUpdate
    ) -> service_exchange.ServiceUpdate | None:
        """Sends an update; see `callpath.service_exchange.ServiceLink`."""
        await self._source.process.wait_while_paused()
        if not self._source.process.is_up:
            return None
        target = self._source.fleet.find(address)
        try:
            async with asyncio.timeout(UPDATE_TIMEOUT_S):
                return await _transmit(
                    self._source,
                    target,
                    functools.partial(target.handle_update, update),
                )
        except (TimeoutError, errors.BenchError):
            return None


async def _transmit(
    source: "product_instance.ProductInstance",
    target: "product_instance.ProductInstance",
    work: Callable[[], Coroutine[Any, Any, T]],
) -> T:
    """Runs work at another daemon and returns its result.

    When the network loses the call or the answer, waits for
    LOST_MESSAGE_WAIT_S, longer than any time-out of a caller, so that the
    caller's time-out ends the exchange.
    """
    source_centre, target_centre = source.data_centre, target.data_centre
    transmit = source.environment.network.transmit
    if not await transmit(
        source_centre, target_centre, fault_types.Direction.CALLS
    ):
        await asyncio.sleep(LOST_MESSAGE_WAIT_S)
    result = await target.process.run(work())
    if not await transmit(
        target_centre, source_centre, fault_types.Direction.ANSWERS
    ):
        await asyncio.sleep(LOST_MESSAGE_WAIT_S)
    return result
