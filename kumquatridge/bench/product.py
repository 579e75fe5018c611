"""The product's fleet: real decisions between stand-ins."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
import contextlib
import dataclasses
import itertools
import math
import random
import types
from typing import Any, Self

from kumquatridge import clock
from kumquatridge.admission import guard as admission_guard
from kumquatridge.bench import fleets
from kumquatridge.bench import jobs
from kumquatridge.bench import news
from kumquatridge.bench import placement
from kumquatridge.bench import process as bench_process
from kumquatridge.bench import scenario
from kumquatridge.bench import workers
from kumquatridge.callpath import homes
from kumquatridge.callpath import inbound
from kumquatridge.callpath import intake as call_intake
from kumquatridge.callpath import keyed
from kumquatridge.callpath import outbound
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.chain import ledger as chain_ledger
from kumquatridge.chain import ratio as retry_ratio
from kumquatridge.idempotency import handover
from kumquatridge.idempotency import keys
from kumquatridge.idempotency import memory as key_memory
from kumquatridge.idempotency import roster as home_roster
from kumquatridge.idempotency import settings as key_settings
from kumquatridge.membership import member as members
from kumquatridge.membership import summaries
from kumquatridge.membership import table
from kumquatridge.quarantine import register as crash_register
from kumquatridge.routing import chooser as routing

LOST_S = 3600.0
CHOOSER_SEED_BITS = 64
PEER_KEY = "bench"


class _RunRecorder:
    """Counts refusals and retries in the run's records.

    `worker` is the worker that the refusals guard, None on the way out.
    """

    def __init__(
        self, environment: fleets.Environment, worker: str | None
    ) -> None:
        self._environment = environment
        self._worker = worker

    def record_refusal(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> None:
        """Counts a call that was not run and why."""
        self._environment.records.note_refusal(self._worker, call, refusal)

    def record_retry(self, call: calls.Call, reason: str) -> None:
        """Counts another attempt at a call and why."""
        self._environment.records.note_retry(call, reason)

    def record_retry_denied(self, call: calls.Call, reason: str) -> None:
        """Counts an attempt that was not made and why."""
        self._environment.records.note_retry_denied(reason)


class FakeWorkerLink:
    """Carries calls to the stand-in of the own worker."""

    def __init__(self, instance: "ProductInstance") -> None:
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
            return outcomes.Unknown("no answer before the deadline")
        except bench_process.ProcessDownError:
            return outcomes.NotRun(refusals.Unreachable(address_of(instance)))
        except bench_process.ProcessLostError:
            return outcomes.Unknown(
                "connection lost after the call was sent", worker_lost=True
            )


_Serve = Callable[[calls.Call], Coroutine[Any, Any, outcomes.Outcome]]


class FakePeerLink:
    """Carries calls to the daemons of other stand-in instances."""

    def __init__(self, source: "ProductInstance") -> None:
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
        self, call: calls.Call, target: "ProductInstance", serve: _Serve
    ) -> AsyncIterator[outcomes.Outcome]:
        try:
            async with asyncio.timeout(call.chain.get_remaining_ms() / 1000.0):
                outcome = await self._carry(call, target, serve)
        except TimeoutError:
            outcome = outcomes.Unknown("no answer before the deadline")
        except bench_process.ProcessDownError:
            outcome = outcomes.NotRun(
                refusals.Unreachable(target.name), call.chain.retries
            )
        except bench_process.ProcessLostError:
            outcome = outcomes.Unknown("connection lost after sending")
        yield outcome

    async def _carry(
        self, call: calls.Call, target: "ProductInstance", serve: _Serve
    ) -> outcomes.Outcome:
        here, there = self._source.data_centre, target.data_centre
        carry = self._source.environment.network.carry
        if not await carry(here, there, scenario.Half.CALLS):
            await _wait_for_ever()
        outcome = await target.process.run(serve(call))
        if not await carry(there, here, scenario.Half.ANSWERS):
            await _wait_for_ever()
        return outcome


async def _wait_for_ever() -> None:
    """Waits for an answer that never comes."""
    await asyncio.sleep(LOST_S)


def address_of(instance: "ProductInstance") -> str:
    """Returns the address of an instance's worker."""
    return instance.name


class ProductInstance:
    """A worker's stand-in with the decisions of a real daemon beside it."""

    def __init__(self, fleet: "ProductFleet", place: placement.Place) -> None:
        self.fleet = fleet
        self.environment = fleet.environment
        self.name = place.name
        self.data_centre = place.data_centre
        self.worker = workers.FakeWorker(
            place,
            self.environment.book,
            self.environment.records,
            self.environment.seed,
        )
        self.process = bench_process.FakeProcess(place.name)
        self._place = place
        self._incarnations = itertools.count(1)
        self._assemble()

    def _assemble(self) -> None:
        """Puts a daemon together that remembers nothing."""
        self.members = table.MemberTable(self._make_member())
        recorder = _RunRecorder(self.environment, self.name)
        seed = random.Random(
            f"{self.environment.seed}/{self.name}/chooser"
        ).getrandbits(CHOOSER_SEED_BITS)
        guard = admission_guard.AdmissionGuard(self._place.service.slots)
        ledger = chain_ledger.Ledger()
        self._intake = call_intake.Intake(
            self.environment.policies, ledger, recorder
        )
        self.crashes = crash_register.CrashRegister(
            crash_register.QuarantineSettings(),
            self.name,
            lambda: news.tell_later(self),
        )
        self._inbound = inbound.InboundPath(
            self.members,
            guard,
            ledger,
            FakeWorkerLink(self),
            recorder,
            crashes=self.crashes,
        )
        self._outbound = outbound.OutboundPath(
            self.members,
            routing.InstanceChooser(self.members, seed),
            self._inbound,
            FakePeerLink(self),
            _RunRecorder(self.environment, None),
            ratio=retry_ratio.RetryRatio(retry_ratio.RatioSettings()),
        )
        self._keyed = self._make_keyed_path()

    def _make_keyed_path(self) -> keyed.KeyedPath:
        settings = key_settings.KeySettings()
        own = self.members.own
        self.roster = home_roster.HomeRoster(
            settings, self.name, own.incarnation
        )
        memory = key_memory.KeyMemory(settings)
        handed = handover.HandedKeys(settings)
        self.homes = handover.HomeExchange(self.roster, memory, handed)
        home = keys.HomeId(self.name, str(own.incarnation))
        memory = key_memory.KeyMemory(settings)
        handed = handover.HandedKeys(settings)
        self.homes = handover.HomeExchange(self.roster, memory, handed)
        return keyed.KeyedPath(
            self.members,
            self._inbound,
            self._outbound,
            FakePeerLink(self),
            _RunRecorder(self.environment, None),
            home_finder=homes.Homes(
                settings,
                home,
                keys.KeyIssuer(home, PEER_KEY),
                self.roster,
                self.members,
                stalls=self.process,
                handed=handed,
            ),
            memory=memory,
        )

    def _make_member(self) -> members.Member:
        service = self._place.service
        return members.Member(
            instance=self.name,
            incarnation=next(self._incarnations),
            data_centre=self.data_centre,
            call_address=self.name,
            control_address=self.name,
            announcement=members.Announcement(
                service.name, self.name, service.slots, service.slots * 8
            ),
        )

    async def send(self, job: jobs.Job) -> outcomes.Outcome:
        """Serves a call of an outside caller."""
        return await self._dispatch(job, None)

    async def send_from_worker(
        self, job: jobs.Job, token: str
    ) -> outcomes.Outcome:
        """Serves a call that the own worker makes."""
        try:
            outcome = await self.process.run(self._dispatch(job, token))
        except bench_process.ProcessDownError:
            outcome = outcomes.Failed("own daemon is down")
        except bench_process.ProcessLostError:
            outcome = outcomes.Unknown("own daemon was lost")
        self.environment.records.note_outcome(job, outcome)
        return outcome

    async def _dispatch(
        self, job: jobs.Job, token: str | None
    ) -> outcomes.Outcome:
        await self.process.wait_while_paused()
        request = jobs.make_request(job, token)
        with self._intake.open(request) as opened:
            match opened:
                case calls.Call():
                    if token is None:
                        self.environment.records.note_root(opened)
                    async with self._keyed.dispatch(opened) as outcome:
                        self._intake.settle(request, outcome)
                        return outcome
                case refusal:
                    return outcomes.NotRun(refusal)

    async def serve(self, call: calls.Call) -> outcomes.Outcome:
        """Serves a call that another daemon sent."""
        await self.process.wait_while_paused()
        async with self._inbound.serve(call) as outcome:
            return outcome

    async def serve_home(self, call: calls.Call) -> outcomes.Outcome:
        """Serves a call whose sender takes this daemon for its home."""
        await self.process.wait_while_paused()
        received = dataclasses.replace(call, received_ms=clock.get_now_ms())
        async with self._keyed.serve(received) as outcome:
            return outcome

    async def restart_daemon(self) -> None:
        """Replaces the daemon by one that remembers nothing."""
        await self.close()
        self._assemble()

    async def close(self) -> None:
        """Cuts off what the daemon still runs."""
        await self._keyed.__aexit__(None, None, None)

    def knows_all(self) -> bool:
        """Tells whether this daemon has heard of its whole data centre."""
        return sum(1 for _ in self.members) == sum(
            one.data_centre == self.data_centre for one in self.fleet.instances
        )

    def refute(self) -> None:
        """Raises the incarnation, so that others take it for alive again."""
        self.members.set_own(self._make_member())


class ProductFleet:
    """The instances of a deployment, each with a daemon of its own."""

    def __init__(self, environment: fleets.Environment) -> None:
        self.environment = environment
        self.network = environment.network
        self.instances = tuple(
            ProductInstance(self, place)
            for place in placement.iter_places(environment.deployment)
        )
        self._unreachable: set[tuple[str, str]] = set()
        self._by_name = {one.name: one for one in self.instances}
        self.note_reachability()
        self._news: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Starts the news between the daemons."""
        self._news = asyncio.create_task(news.exchange_for_ever(self))
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops the news and the daemons."""
        if self._news is not None:
            self._news.cancel()
        for instance in self.instances:
            await instance.close()

    def find(self, name: str) -> ProductInstance:
        """Returns an instance by its name."""
        return self._by_name[name]

    def note_reachability(self) -> None:
        """Lets each daemon know which others it can reach now.

        Stands in for the membership messages, whose delay the scenario's
        faults add.
        """
        unreachable = {
            (observer.name, seen.name)
            for observer in self.instances
            for seen in self.instances
            if not self.is_reachable(observer, seen)
        }
        for name in sorted(
            {seen for _, seen in self._unreachable - unreachable}
        ):
            self.find(name).refute()
        self._unreachable = unreachable
        for observer in self.instances:
            for seen in self.instances:
                observer.members.learn(self._observe(observer, seen))
        for observer in self.instances:
            self._summarise_others(observer)

    def _summarise_others(self, observer: ProductInstance) -> None:
        """Tells a daemon the summaries of the other data centres."""
        for centre in self.environment.deployment.data_centres:
            teller = next(
                (
                    one
                    for one in self.instances
                    if one.data_centre == centre
                    and self.is_reachable(observer, one)
                ),
                None,
            )
            if teller is None:
                observer.members.remote.record_silence(
                    centre, clock.get_now_ms()
                )
            elif centre != observer.data_centre:
                summary = summaries.make_summary(teller.members, known=0)
                observer.members.remote.record_answer(summary)

    def is_reachable(
        self, observer: ProductInstance, seen: ProductInstance
    ) -> bool:
        """Tells whether messages pass between two instances."""
        if not seen.process.is_up:
            return False
        return not self.network.is_cut(observer.data_centre, seen.data_centre)

    def _observe(
        self, observer: ProductInstance, seen: ProductInstance
    ) -> members.Member:
        if self.is_reachable(observer, seen):
            return seen.members.own
        return dataclasses.replace(
            seen.members.own, state=members.Dead(clock.get_now_ms())
        )
