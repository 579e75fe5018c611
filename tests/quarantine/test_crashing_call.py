"""A crashing call kills few workers, and innocent ones go on."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

import pytest

from kumquatridge import clock
from kumquatridge.admission import controller as admission_controller
from kumquatridge.callpath import inbound
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.chain import inbound_calls
from kumquatridge.membership import table
from kumquatridge.quarantine import register as crash_register
from tests.callpath import graph as graphs

MAX_KILLS = 3
MAX_REFUSED_S = 1.0
RESENT_S = 60.0
SERVICE_S = 0.25
RESTART_S = 0.5
SHARE_S = 0.1
CRASH = b"crash"


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A service, its load and how the crashing call is resent."""

    workers: int
    innocents: int
    resend_s: float
    same_worker: bool = False


class Worker:
    """Dies when it runs the crashing call; comes back after a while."""

    def __init__(self, world: "CrashWorld", name: str) -> None:
        self.kills = 0
        self._dying = asyncio.Event()
        self._up_s = 0.0
        self.crashes = crash_register.CrashRegister(
            crash_register.QuarantineSettings(), name, world.share
        )
        self.path = inbound.InboundPath(
            table.MemberTable(graphs.make_member(0, 0)),
            admission_controller.AdmissionController(slots=graphs.SLOTS),
            inbound_calls.InboundCallRegistry(),
            self,
            graphs.CountingRecorder(),
            crashes=self.crashes,
        )

    @contextlib.asynccontextmanager
    async def send(
        self, call: calls.Call, address: str, token: str
    ) -> AsyncIterator[outcomes.Outcome]:
        """Runs a call until it ends or the worker dies."""
        if clock.get_now_ms() / 1000 < self._up_s:
            yield outcomes.NotRun(refusals.Unreachable(address))
            return
        dying = self._dying
        if call.body == call_body.BufferedBody(CRASH):
            self._die()
        try:
            async with asyncio.timeout(SERVICE_S):
                await dying.wait()
        except TimeoutError:
            yield outcomes.Completed(200, (), call_body.EMPTY)
        else:
            yield outcomes.Unknown("lost", worker_lost=True)

    def _die(self) -> None:
        self.kills += 1
        self._up_s = clock.get_now_ms() / 1000 + RESTART_S
        self._dying.set()
        self._dying = asyncio.Event()


class CrashWorld:
    """The workers of one service, which share what they know of crashes."""

    def __init__(self, count: int) -> None:
        self.sharing: asyncio.Task[None] | None = None
        self.workers = [Worker(self, f"w{n}") for n in range(count)]
        self.longest_refused_s = 0.0
        self.served = 0

    def share(self) -> None:
        """Starts to share unless that is under way."""
        if self.sharing is None or self.sharing.done():
            self.sharing = asyncio.create_task(self._share())

    async def _share(self) -> None:
        await asyncio.sleep(SHARE_S)
        for worker in self.workers:
            for other in self.workers:
                other.crashes.merge(worker.crashes.export())

    async def call(self, number: int, body: bytes) -> outcomes.Outcome:
        """Sends a call to one worker's daemon."""
        worker = self.workers[number % len(self.workers)]
        graph = graphs.Graph(((),), 0, 0.0, 1, 0)
        policy = graphs.make_policies(graph).find("s0", "GET", "/")
        assert policy is not None
        call = calls.Call(
            service="s0",
            method="GET",
            path="/",
            headers=(),
            body=call_body.BufferedBody(body),
            caller="",
            idempotency_key=None,
            policy=policy,
            chain=graphs.make_chain(10.0),
        )
        async with worker.path.serve(call) as outcome:
            return outcome

    async def send_innocents(self, number: int) -> None:
        """Sends one innocent call over and over, to another worker each."""
        refused_s: float | None = None
        for attempt in range(10**9):
            outcome = await self.call(number + attempt, f"{number}".encode())
            now_s = clock.get_now_ms() / 1000
            match outcome:
                case outcomes.NotRun(refusals.Quarantined()):
                    refused_s = now_s if refused_s is None else refused_s
                    self.longest_refused_s = max(
                        self.longest_refused_s, now_s - refused_s
                    )
                    await asyncio.sleep(0.05)
                case outcomes.Completed():
                    refused_s = None
                    self.served += 1
                case _:
                    refused_s = None
                    await asyncio.sleep(0.05)


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(Case(3, 100, 0.0), id="three workers, at once"),
        pytest.param(Case(6, 100, 0.0), id="six workers, at once"),
        pytest.param(Case(6, 100, 0.7), id="resent slowly"),
        pytest.param(Case(6, 0, 5.0), id="nothing beside it"),
        pytest.param(Case(3, 100, 0.3, same_worker=True), id="one worker"),
    ],
)
async def test_few_workers_are_killed(case: Case) -> None:
    world = CrashWorld(case.workers)
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(world.send_innocents(number))
            for number in range(case.innocents)
        ]
        await asyncio.sleep(1.0)
        quarantined = await resend(world, case)
        for task in tasks:
            task.cancel()
    assert 1 <= sum(worker.kills for worker in world.workers) <= MAX_KILLS
    assert quarantined > 0
    assert world.longest_refused_s <= MAX_REFUSED_S
    assert case.innocents == 0 or world.served > 0


async def resend(world: CrashWorld, case: Case) -> int:
    """Resends the crashing call; returns how often it was refused."""
    quarantined = 0
    number = 0
    end_s = clock.get_now_ms() / 1000 + RESENT_S
    while clock.get_now_ms() / 1000 < end_s:
        match await world.call(number, CRASH):
            case outcomes.NotRun(refusals.Quarantined()):
                quarantined += 1
            case _:
                pass
        number += 0 if case.same_worker else 1
        await asyncio.sleep(max(case.resend_s, 0.01))
    return quarantined


@pytest.mark.looptime
async def test_one_crash_refuses_no_innocent() -> None:
    world = CrashWorld(1)
    calls_made = [world.call(0, f"{n}".encode()) for n in range(100)]
    await asyncio.gather(*calls_made, world.call(0, CRASH))
    await asyncio.sleep(RESTART_S)
    again = await asyncio.gather(
        *(world.call(0, f"{n}".encode()) for n in range(100))
    )
    assert {type(outcome) for outcome in again} == {outcomes.Completed}
