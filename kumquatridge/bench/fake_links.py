"""Stand-ins for what connects daemons with workers and each other."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
import contextlib
import dataclasses
import functools
import math
from typing import Any, TYPE_CHECKING, TypeVar

from kumquatridge import clock
from kumquatridge.bench import errors
from kumquatridge.bench import jobs
from kumquatridge.bench import process as bench_process
from kumquatridge.bench import troubles
from kumquatridge.callpath import service_exchange
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.membership import member as members

if TYPE_CHECKING:
    from kumquatridge.bench import product_instance

T = TypeVar("T")

LOST_S = 3600.0
UPDATE_TIMEOUT_S = 2.0


class FakeWorkerLink:
    """Carries calls to the stand-in of the own worker."""

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
        job = instance.environment.book.find(call.headers)

        async def send_child(child: jobs.Job) -> outcomes.Outcome:
            return await instance.send_from_worker(child, token)

        instance.environment.records.note_start(
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
        except bench_process.ProcessLostError:
            return outcomes.Unknown(
                "connection lost after the call was sent", worker_lost=True
            )


_Serve = Callable[[calls.Call], Coroutine[Any, Any, outcomes.Outcome]]


class FakePeerLink:
    """Carries calls to the daemons of other stand-in instances."""

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
    async def send_home(
        self, call: calls.Call, member: members.Member
    ) -> AsyncIterator[outcomes.Outcome]:
        """Sends a call to its home; see `callpath.links.PeerLink`."""
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
                outcome = await self._carry(call, target, serve)
        except TimeoutError:
            outcome = outcomes.Unknown(
                "no answer before the deadline", timed_out=True
            )
        except bench_process.ProcessDownError:
            outcome = outcomes.NotRun(
                refusals.Unreachable(target.name), call.chain.retry_allowance
            )
        except bench_process.ProcessLostError:
            outcome = outcomes.Unknown("connection lost after sending")
        yield outcome

    async def _carry(
        self,
        call: calls.Call,
        target: "product_instance.ProductInstance",
        serve: _Serve,
    ) -> outcomes.Outcome:
        outcome = await _carry(
            self._source, target, functools.partial(serve, call)
        )
        reports = self._source.environment.network.reports
        return reports.pass_on(target.name, outcome)


class FakeServiceLink:
    """Carries updates between the daemons of one service."""

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
                return await _carry(
                    self._source,
                    target,
                    functools.partial(target.take_update, update),
                )
        except (TimeoutError, errors.BenchError):
            return None


async def _carry(
    source: "product_instance.ProductInstance",
    target: "product_instance.ProductInstance",
    work: Callable[[], Coroutine[Any, Any, T]],
) -> T:
    """Has work done by another daemon; waits for ever when a way fails."""
    here, there = source.data_centre, target.data_centre
    carry = source.environment.network.carry
    if not await carry(here, there, troubles.Half.CALLS):
        await asyncio.sleep(LOST_S)
    done = await target.process.run(work())
    if not await carry(there, here, troubles.Half.ANSWERS):
        await asyncio.sleep(LOST_S)
    return done
