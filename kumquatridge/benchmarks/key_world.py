"""A small world of daemons, faults and resending callers, in virtual time.

The decisions are the real ones: roster, key memory and keyed path. Links
between daemons, workers and membership are fakes that delay, cut, lose and
pause.
"""

import asyncio
from collections.abc import AsyncIterator, Iterator, Set
import contextlib
import dataclasses
import random

from kumquatridge import clock
from kumquatridge.callpath import homes
from kumquatridge.callpath import keyed
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.chain import context
from kumquatridge.idempotency import handover
from kumquatridge.idempotency import keys
from kumquatridge.idempotency import memory as key_memory
from kumquatridge.idempotency import roster as home_roster
from kumquatridge.idempotency import settings as key_settings
from kumquatridge.idempotency import stalls
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.settings import policy as settings_policy

SERVICE = "ordering"
SECRET = "secret"
SETTINGS = key_settings.KeySettings(
    bare_key_max_age_ms=2_000,
    transit_ms=200,
    retention_ms=20_000,
    max_keys=10_000,
)
DEADLINE_MS = 500.0
CONTACT = "x-contact"
MAX_DELAY_S = 0.05
MAX_SERVICE_S = 0.2
LOSS_RATIO = 0.1
REFUSAL_RATIO = 0.1
NAIVE_TRIES = 3

POLICY = settings_policy.RoutePolicy(
    service=SERVICE,
    route="booking",
    importance=importance.Importance.CRITICAL,
    idempotent=False,
    deadline_ms=int(DEADLINE_MS),
    retry_allowance=2,
    long_running=False,
    max_body_bytes=1_000_000,
    queue_wait_ms=100,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of a key at a worker."""

    instance: str
    contact: str
    started_ms: float


class CountingRecorder:
    """Counts refusals by reason."""

    def __init__(self) -> None:
        self.reasons: dict[str, int] = {}

    def record_refusal(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> None:
        """Counts a refusal."""
        self.reasons[refusal.code] = self.reasons.get(refusal.code, 0) + 1

    def record_retry(self, call: calls.Call, reason: str) -> None:
        """Counts nothing."""

    def record_retry_denied(self, call: calls.Call, reason: str) -> None:
        """Counts nothing."""


class Process:
    """One daemon process with its worker; a restart makes another."""

    def __init__(self, world: "World", instance: str, number: int) -> None:
        self.instance = instance
        self.running = asyncio.Event()
        self.running.set()
        self._paused_ms = 0.0
        self._resumed_ms = float("-inf")
        self._lost_ms = 0.0
        self.visits: set[asyncio.Task[object]] = set()
        own = keys.HomeId(instance, f"boot-{number}")
        self.issuer = keys.KeyIssuer(own, SECRET)
        self.roster = home_roster.HomeRoster(SETTINGS, instance, number)
        self.members = table.MemberTable(make_member(instance))
        memory = key_memory.KeyMemory(SETTINGS)
        handed = handover.HandedKeys(SETTINGS)
        self.exchange = handover.HomeExchange(self.roster, memory, handed)
        worker = OwnWorker(world, self)
        self.naive = NaivePath(worker)
        self.path = keyed.KeyedPath(
            self.members,
            worker,
            Others(),
            PeerFake(world, self),
            world.recorder,
            home_finder=homes.Homes(
                SETTINGS,
                own,
                self.issuer,
                self.roster,
                self.members,
                stalls=self,
                handed=handed,
            ),
            memory=memory,
        )

    def pause(self) -> None:
        """Stops the process until it is resumed."""
        if self.running.is_set():
            self.running.clear()
            self._paused_ms = clock.get_now_ms()

    def resume(self) -> None:
        """Lets a paused process go on."""
        if not self.running.is_set():
            self._resumed_ms = clock.get_now_ms()
            self._lost_ms = self._resumed_ms - self._paused_ms
            self.running.set()

    def get_lost_ms(self) -> float:
        """Returns the length of a pause that ended just now, or 0."""
        is_recent = clock.get_now_ms() - self._resumed_ms < stalls.RECENT_MS
        return self._lost_ms if is_recent else 0.0

    @contextlib.contextmanager
    def visit(self) -> Iterator[None]:
        """Has the running task cancelled when the process is killed."""
        task = asyncio.current_task()
        assert task is not None
        self.visits.add(task)
        try:
            yield
        finally:
            self.visits.discard(task)


class OwnWorker:
    """The worker beside a process: runs, refuses, or loses the answer."""

    def __init__(self, world: "World", process: Process) -> None:
        self._world = world
        self._process = process

    @contextlib.asynccontextmanager
    async def serve(self, call: calls.Call) -> AsyncIterator[outcomes.Outcome]:
        """Runs a call; a pause may come between decision and run."""
        world = self._world
        await world.delay()
        await self._process.running.wait()
        if world.random.random() < world.refusal_ratio:
            yield outcomes.NotRun(refusals.Overloaded(3, 1, 0))
            return
        world.record_run(call, self._process.instance)
        await asyncio.sleep(world.random.random() * MAX_SERVICE_S)
        await self._process.running.wait()
        if world.loses():
            yield outcomes.Unknown("lost", worker_lost=True)
        else:
            yield outcomes.Completed(200, (), world.make_answer(call))


class NaivePath:
    """Runs whatever it is sent and tries again when no answer came."""

    def __init__(self, worker: OwnWorker) -> None:
        self._worker = worker

    @contextlib.asynccontextmanager
    async def serve(self, call: calls.Call) -> AsyncIterator[outcomes.Outcome]:
        """Runs a call, three times at most."""
        for _ in range(NAIVE_TRIES):
            async with self._worker.serve(call) as outcome:
                match outcome:
                    case outcomes.Completed():
                        break
                    case _:
                        pass
        yield outcome


class Others:
    """Finds no other instance."""

    @contextlib.asynccontextmanager
    async def dispatch(
        self, call: calls.Call, excluded: Set[str] = frozenset()
    ) -> AsyncIterator[outcomes.Outcome]:
        """Refuses the call."""
        yield outcomes.NotRun(refusals.NoInstance(call.service, 0))


class PeerFake:
    """The link from one process to the others."""

    def __init__(self, world: "World", process: Process) -> None:
        self._world = world
        self._process = process

    def send(
        self, call: calls.Call, member: members.Member
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends as to a home."""
        return self.send_home(call, member)

    @contextlib.asynccontextmanager
    async def send_home(
        self, call: calls.Call, member: members.Member
    ) -> AsyncIterator[outcomes.Outcome]:
        """Sends a call to the process that is at the address now."""
        world = self._world
        sent_ms = clock.get_now_ms()
        call = dataclasses.replace(
            call,
            key_age_ms=(call.key_age_ms or 0) + int(sent_ms - call.received_ms),
        )
        await world.delay()
        target = world.processes.get(member.instance)
        if target is None:
            yield outcomes.NotRun(refusals.Unreachable(member.instance))
            return
        if world.is_cut(self._process, target) or world.loses():
            yield outcomes.Unknown("request lost")
            return
        outcome = await world.enter(target, target.path.serve, call)
        await world.delay()
        if world.is_cut(self._process, target) or world.loses():
            yield outcomes.Unknown("answer lost")
        else:
            yield outcome


class World:
    """All processes, keys and faults; checks every promise as it goes."""

    def __init__(
        self, seed: int, instances: int, *, is_naive: bool = False
    ) -> None:
        self._is_naive = is_naive
        self.random = random.Random(seed)
        self.names = tuple(f"ordering-{n}" for n in range(1, instances + 1))
        self.processes: dict[str, Process] = {}
        self.recorder = CountingRecorder()
        self.runs: dict[str, list[Run]] = {}
        self.outcomes: dict[str, int] = {}
        self.violations: list[str] = []
        self.loss_ratio = LOSS_RATIO
        self.refusal_ratio = REFUSAL_RATIO
        self._cut: set[frozenset[str]] = set()
        self._number = 0
        self._contact = 0

    def is_cut(self, one: Process, other: Process) -> bool:
        """Tells whether two processes can't reach each other."""
        return frozenset((one.instance, other.instance)) in self._cut

    def loses(self) -> bool:
        """Decides whether a message is lost."""
        return self.random.random() < self.loss_ratio

    async def delay(self) -> None:
        """Waits as long as a message travels."""
        await asyncio.sleep(self.random.random() * MAX_DELAY_S)

    async def enter(
        self, process: Process, path: keyed.Opener, call: calls.Call
    ) -> outcomes.Outcome:
        """Carries a call through a process that may be paused or killed."""
        task = asyncio.create_task(self._enter(process, path, call))
        await asyncio.wait((task,))
        if task.cancelled():
            return outcomes.Unknown("the daemon was killed")
        return task.result()

    async def _enter(
        self, process: Process, path: keyed.Opener, call: calls.Call
    ) -> outcomes.Outcome:
        with process.visit():
            await process.running.wait()
            read = dataclasses.replace(call, received_ms=clock.get_now_ms())
            async with path(read) as outcome:
                await process.running.wait()
                return outcome

    def start(self, name: str) -> None:
        """Starts a process in a vacant place."""
        if name in self.processes:
            return
        is_first = not self.processes
        self._number += 1
        process = Process(self, name, self._number)
        self.processes[name] = process
        process.members.set_own(make_member(name))
        process.roster.join(may_found=is_first)

    async def stop(self, name: str, *, says_so: bool) -> None:
        """Ends a process, with or without a word to the others."""
        process = self.processes.get(name)
        if process is None:
            return
        if says_so:
            process.roster.leave()
            for other in tuple(self.processes):
                await self.exchange(name, other)
        if self.processes.pop(name, None) is None:
            return
        for task in tuple(process.visits):
            task.cancel()
        await process.path.__aexit__(None, None, None)

    def retire(self, name: str) -> None:
        """Says to one daemon that an instance was destroyed."""
        if name not in self.processes and self.processes:
            teller = self.random.choice(tuple(self.processes.values()))
            teller.roster.retire(name)

    def pause(self, name: str) -> None:
        """Pauses a process or lets it go on."""
        process = self.processes.get(name)
        if process is None:
            return
        if process.running.is_set():
            process.pause()
        else:
            process.resume()

    def cut(self, one: str, other: str) -> None:
        """Cuts the link between two instances or mends it."""
        if one != other:
            self._cut ^= {frozenset((one, other))}

    def heal(self) -> None:
        """Mends all links and lets all processes go on."""
        self._cut.clear()
        for process in self.processes.values():
            process.resume()

    def meet(self, one: str, other: str) -> None:
        """Lets membership tell one process of another."""
        process = self.processes.get(one)
        if process is not None and other in self.processes and one != other:
            process.members.learn(make_member(other))
            process.roster.meet((other,))

    async def gather(self) -> None:
        """Lets all processes meet and exchange their news."""
        for one in self.names:
            for other in self.names:
                self.meet(one, other)
                await self.exchange(one, other)

    async def exchange(self, one: str, other: str) -> None:
        """Exchanges news of the roster, either half of which may be lost."""
        asking = self.processes.get(one)
        asked = self.processes.get(other)
        if asking is None or asked is None or asking is asked:
            return
        if self.is_cut(asking, asked) or not _is_awake(asking, asked):
            return
        answer = asked.exchange.answer(asking.exchange.ask())
        if not self.loses():
            asking.exchange.conclude(answer)

    def make_answer(self, call: calls.Call) -> call_body.Body:
        """Returns the answer to a key, the same on every read."""
        assert call.request_key is not None
        return call_body.BufferedBody(call.request_key.encode())

    def record_run(self, call: calls.Call, instance: str) -> None:
        """Takes down a run and checks that it is the first."""
        assert call.request_key is not None
        runs = self.runs.setdefault(call.request_key, [])
        contact = dict(call.headers)[CONTACT]
        runs.append(Run(instance, contact, clock.get_now_ms()))
        if len(runs) > 1:
            self.violations.append(f"{call.request_key} ran twice: {runs}")

    async def contact(self, name: str, key: str, age_ms: int | None) -> None:
        """Sends a key to one daemon and checks what the caller is told."""
        process = self.processes.get(name)
        if process is None:
            return
        self._contact += 1
        contact = f"contact-{self._contact}"
        started_ms = clock.get_now_ms()
        call = make_call(key, contact, age_ms)
        path = process.naive.serve if self._is_naive else process.path.dispatch
        outcome = await self.enter(process, path, call)
        self._check(key, contact, started_ms, outcome)

    def _check(
        self,
        key: str,
        contact: str,
        started_ms: float,
        outcome: outcomes.Outcome,
    ) -> None:
        name = type(outcome).__name__
        self.outcomes[name] = self.outcomes.get(name, 0) + 1
        runs = self.runs.get(key, [])
        match outcome:
            case outcomes.NotRun():
                wrong = [
                    run
                    for run in runs
                    if run.contact == contact or run.started_ms < started_ms
                ]
                if wrong:
                    self.violations.append(f"{key} not run, but {wrong}")
            case outcomes.Completed(body=body):
                if body != call_body.BufferedBody(key.encode()) or not runs:
                    self.violations.append(f"{key} got {body}")
            case _:
                pass

    async def close(self) -> None:
        """Ends all processes."""
        for name in tuple(self.processes):
            await self.stop(name, says_so=False)


def _is_awake(*processes: Process) -> bool:
    return all(process.running.is_set() for process in processes)


def make_member(instance: str) -> members.Member:
    """Returns the member of an instance with its announced worker."""
    return members.Member(
        instance=instance,
        incarnation=1,
        data_centre="landshut",
        call_address=f"{instance}:1",
        control_address=f"{instance}:2",
        announcement=members.Announcement(SERVICE, f"{instance}:3", 10, 40),
    )


def make_call(key: str, contact: str, age_ms: int | None) -> calls.Call:
    """Returns one sending of a key."""
    return calls.Call(
        service=SERVICE,
        method="POST",
        path="/bookings",
        headers=((CONTACT, contact),),
        body=call_body.BufferedBody(key.encode()),
        caller="handset",
        request_key=key,
        policy=POLICY,
        chain=context.ChainContext(
            root_id=contact,
            importance=POLICY.importance,
            expires_at_ms=clock.get_now_ms() + DEADLINE_MS,
            retries=POLICY.retry_allowance,
            depth=0,
        ),
        key_age_ms=age_ms,
        received_ms=clock.get_now_ms(),
    )
