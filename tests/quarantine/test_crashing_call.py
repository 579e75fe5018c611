"""Crashing calls are quarantined after few crashes; others still run.

Without a quarantine, a resent call that crashes its worker takes down one
worker after the other. Harmless calls that were in progress at a crash are
suspects too, but must not be refused for long.
"""

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
from kumquatridge.quarantine import crash_registry
from tests.callpath import graph as graphs

# The crashes after which a fingerprint is quarantined:
# `quarantine_crash_count` of the settings.
MAX_CRASHES = 3
# The longest time for which a harmless call may be refused without a break:
# `refusal_ms` of the settings (0.9 s) and a margin.
MAX_REFUSAL_S = 1.0
# For how long the crashing call is resent again and again.
RESEND_PERIOD_S = 60.0
# How long a worker takes for a harmless call.
SERVICE_S = 0.25
# How long a worker is unreachable after a crash.
RESTART_S = 0.5
# How long a crash entry takes to reach all daemons. Shorter than
# `answer_delay_ms` of the settings (0.25 s), so that all daemons know of a
# crash before the caller resends the call.
PROPAGATION_S = 0.1
# The body of the crashing call.
CRASH_BODY = b"crash"


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Size and load of a service, and how the crashing call is resent.

    `harmless_calls` is the number of other calls that are resent all the time.
    `resend_interval_s` is the time from the answer to a crashing call until it
    is resent, to the next worker or with `same_worker` always to the first.
    """

    workers: int
    harmless_calls: int
    resend_interval_s: float
    same_worker: bool = False


class Worker:
    """A worker with the crash registry and call path of its daemon.

    It crashes on the crashing call and restarts after `RESTART_S`.
    """

    def __init__(self, simulation: "CrashSimulation", name: str) -> None:
        self.crash_count = 0
        self._crashed = asyncio.Event()
        self._restart_ends_s = 0.0
        self.crashes = crash_registry.CrashRegistry(
            crash_registry.QuarantineSettings(),
            name,
            simulation.start_propagation,
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
        """Runs a call until it ends or the worker crashes."""
        if clock.get_now_ms() / 1000 < self._restart_ends_s:
            yield outcomes.NotRun(refusals.Unreachable(address))
            return
        # `_crash` sets this event, which ends the calls in progress, and makes
        # a new one for later calls.
        crashed = self._crashed
        if call.body == call_body.BufferedBody(CRASH_BODY):
            self._crash()
        try:
            async with asyncio.timeout(SERVICE_S):
                await crashed.wait()
        except TimeoutError:
            yield outcomes.Completed(200, (), call_body.EMPTY)
        else:
            yield outcomes.Unknown("lost", worker_lost=True)

    def _crash(self) -> None:
        self.crash_count += 1
        self._restart_ends_s = clock.get_now_ms() / 1000 + RESTART_S
        self._crashed.set()
        self._crashed = asyncio.Event()


class CrashSimulation:
    """The workers of one service, whose daemons exchange crash entries."""

    def __init__(self, worker_count: int) -> None:
        self.propagation_task: asyncio.Task[None] | None = None
        self.workers = [Worker(self, f"w{n}") for n in range(worker_count)]
        # The longest time for which a harmless call was refused without a
        # break.
        self.max_refusal_s = 0.0
        self.harmless_served = 0

    def start_propagation(self) -> None:
        """Starts an exchange of entries unless one is in progress."""
        if self.propagation_task is None or self.propagation_task.done():
            self.propagation_task = asyncio.create_task(self._propagate())

    async def _propagate(self) -> None:
        await asyncio.sleep(PROPAGATION_S)
        for worker in self.workers:
            for peer in self.workers:
                peer.crashes.merge(worker.crashes.export())

    async def call(self, worker_index: int, body: bytes) -> outcomes.Outcome:
        """Sends a call to one worker; the index wraps around.

        The deadline of the call is in 10 s.
        """
        worker = self.workers[worker_index % len(self.workers)]
        # One service without child services, retries or faults, where a worker
        # tries a call once; the last argument is the seed.
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

    async def resend_harmless_call(self, number: int) -> None:
        """Resends a call to the next worker each time, until cancelled.

        Measures for how long the call is quarantined without a break. After an
        attempt without an answer there is a pause of 50 ms.
        """
        refused_since_s: float | None = None
        for attempt in range(10**9):
            outcome = await self.call(number + attempt, f"{number}".encode())
            now_s = clock.get_now_ms() / 1000
            match outcome:
                case outcomes.NotRun(refusals.Quarantined()):
                    refused_since_s = (
                        now_s if refused_since_s is None else refused_since_s
                    )
                    self.max_refusal_s = max(
                        self.max_refusal_s, now_s - refused_since_s
                    )
                    await asyncio.sleep(0.05)
                case outcomes.Completed():
                    refused_since_s = None
                    self.harmless_served += 1
                case _:
                    refused_since_s = None
                    await asyncio.sleep(0.05)


# Cases give the number of workers, the number of harmless calls and the resend
# interval in seconds.
@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(Case(3, 100, 0.0), id="three workers, resent at once"),
        pytest.param(Case(6, 100, 0.0), id="six workers, resent at once"),
        pytest.param(Case(6, 100, 0.7), id="resent slowly"),
        pytest.param(Case(6, 0, 5.0), id="no other calls"),
        pytest.param(
            Case(3, 100, 0.3, same_worker=True), id="resent to one worker"
        ),
    ],
)
async def test_repeated_crashing_call_is_quarantined(case: Case) -> None:
    simulation = CrashSimulation(case.workers)
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(simulation.resend_harmless_call(number))
            for number in range(case.harmless_calls)
        ]
        # Harmless calls are in progress when the first crash happens, since
        # each is resent as soon as it is answered.
        await asyncio.sleep(1.0)
        refused_count = await resend_crashing_call(simulation, case)
        for task in tasks:
            task.cancel()
    assert (
        1
        <= sum(worker.crash_count for worker in simulation.workers)
        <= MAX_CRASHES
    )
    assert refused_count > 0
    assert simulation.max_refusal_s <= MAX_REFUSAL_S
    assert case.harmless_calls == 0 or simulation.harmless_served > 0


async def resend_crashing_call(simulation: CrashSimulation, case: Case) -> int:
    """Resends the crashing call; returns how often it was quarantined."""
    refused_count = 0
    worker_index = 0
    end_s = clock.get_now_ms() / 1000 + RESEND_PERIOD_S
    while clock.get_now_ms() / 1000 < end_s:
        match await simulation.call(worker_index, CRASH_BODY):
            case outcomes.NotRun(refusals.Quarantined()):
                refused_count += 1
            case _:
                pass
        worker_index += 0 if case.same_worker else 1
        # A refusal is immediate; the minimum lets the virtual time advance.
        await asyncio.sleep(max(case.resend_interval_s, 0.01))
    return refused_count


@pytest.mark.looptime
async def test_harmless_calls_are_not_refused_after_one_crash() -> None:
    simulation = CrashSimulation(1)
    harmless_calls = [simulation.call(0, f"{n}".encode()) for n in range(100)]
    await asyncio.gather(*harmless_calls, simulation.call(0, CRASH_BODY))
    await asyncio.sleep(RESTART_S)
    outcomes_after_crash = await asyncio.gather(
        *(simulation.call(0, f"{n}".encode()) for n in range(100))
    )
    assert {type(outcome) for outcome in outcomes_after_crash} == {
        outcomes.Completed
    }
