"""Simulation of idempotency keys: daemons, faults and retrying callers.

It runs in virtual time. The decisions are those of the product: registry of
homes, key table and at-most-once path. Membership, workers and the links
between daemons are fakes that inject delays, cut links, lost messages and
pauses.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import random

from kumquatridge import clock
from kumquatridge.benchmarks import key_calls
from kumquatridge.benchmarks import key_processes
from kumquatridge.callpath import at_most_once
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.routing import choices

MAX_DELAY_S = 0.05
LOSS_RATIO = 0.1
REFUSAL_RATIO = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run of a call at a worker; calls with the same key differ in ID."""

    instance: str
    call_id: str
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

    def record_failed_attempt(
        self,
        call: calls.Call,
        get_snapshot: Callable[[], choices.InstanceSnapshot],
        outcome: outcomes.Outcome,
    ) -> None:
        """Counts nothing."""

    def record_retry(self, call: calls.Call, reason: str) -> None:
        """Counts nothing."""

    def record_retry_denied(self, call: calls.Call, reason: str) -> None:
        """Counts nothing."""


class KeySimulation:
    """Processes, keys and faults; checks every run and every answer."""

    def __init__(
        self, seed: int, instances: int, *, is_naive: bool = False
    ) -> None:
        self._is_naive = is_naive
        self.random = random.Random(seed)
        self.names = tuple(f"ordering-{n}" for n in range(1, instances + 1))
        self.processes: dict[str, key_processes.Process] = {}
        self.recorder = CountingRecorder()
        self.runs: dict[str, list[Run]] = {}
        self.outcomes: dict[str, int] = {}
        self.violations: list[str] = []
        self.loss_ratio = LOSS_RATIO
        self.refusal_ratio = REFUSAL_RATIO
        self._cut_links: set[frozenset[str]] = set()
        self._process_count = 0
        self._call_count = 0

    def is_cut(
        self, one: key_processes.Process, other: key_processes.Process
    ) -> bool:
        """Returns whether the link between two processes is cut."""
        return frozenset((one.instance, other.instance)) in self._cut_links

    def is_message_lost(self) -> bool:
        """Decides at random whether a message is lost."""
        return self.random.random() < self.loss_ratio

    async def delay(self) -> None:
        """Waits for the random delay of a message."""
        await asyncio.sleep(self.random.random() * MAX_DELAY_S)

    async def run_call(
        self,
        process: key_processes.Process,
        path: at_most_once.CallSender,
        call: calls.Call,
    ) -> outcomes.Outcome:
        """Runs a call in a process that may be paused or killed meanwhile."""
        task = asyncio.create_task(self._run_call(process, path, call))
        await asyncio.wait((task,))
        if task.cancelled():
            return outcomes.Unknown("the daemon was killed")
        return task.result()

    async def _run_call(
        self,
        process: key_processes.Process,
        path: at_most_once.CallSender,
        call: calls.Call,
    ) -> outcomes.Outcome:
        with process.track_task():
            await process.running.wait()
            received = dataclasses.replace(call, received_ms=clock.get_now_ms())
            async with path(received) as outcome:
                await process.running.wait()
                return outcome

    def start(self, name: str) -> None:
        """Starts a process of an instance, unless one is running."""
        if name in self.processes:
            return
        is_first = not self.processes
        self._process_count += 1
        process = key_processes.Process(self, name, self._process_count)
        self.processes[name] = process
        process.members.set_own(key_calls.make_member(name))
        process.home_registry.join(may_be_first_home=is_first)

    async def stop(self, name: str, *, is_planned: bool) -> None:
        """Stops a process; announces its departure first if `is_planned`."""
        process = self.processes.get(name)
        if process is None:
            return
        if is_planned:
            process.home_registry.leave()
            for other in tuple(self.processes):
                await self.exchange(name, other)
        if self.processes.pop(name, None) is None:
            return
        for task in tuple(process.running_tasks):
            task.cancel()
        await process.path.__aexit__(None, None, None)

    def retire(self, name: str) -> None:
        """Reports to a random daemon that an instance was destroyed."""
        if name not in self.processes and self.processes:
            informed = self.random.choice(tuple(self.processes.values()))
            informed.home_registry.retire(name)

    def pause_or_resume(self, name: str) -> None:
        """Pauses a process, or resumes a paused one."""
        process = self.processes.get(name)
        if process is None:
            return
        if process.running.is_set():
            process.pause()
        else:
            process.resume()

    def toggle_link(self, one: str, other: str) -> None:
        """Cuts the link between two instances, or restores it."""
        if one != other:
            self._cut_links ^= {frozenset((one, other))}

    def heal(self) -> None:
        """Restores all links and resumes all processes."""
        self._cut_links.clear()
        for process in self.processes.values():
            process.resume()

    def add_member(self, one: str, other: str) -> None:
        """Adds one process to the members of another."""
        process = self.processes.get(one)
        if process is not None and other in self.processes and one != other:
            process.members.apply_update(key_calls.make_member(other))
            process.home_registry.add_instances((other,))

    async def connect_all(self) -> None:
        """Makes all processes members of each other and exchanges updates."""
        for one in self.names:
            for other in self.names:
                self.add_member(one, other)
                await self.exchange(one, other)

    async def exchange(self, one: str, other: str) -> None:
        """Exchanges updates of the homes; the answer may be lost."""
        requester = self.processes.get(one)
        responder = self.processes.get(other)
        if requester is None or responder is None or requester is responder:
            return
        if self.is_cut(requester, responder) or not _are_running(
            requester, responder
        ):
            return
        answer = responder.exchange.handle_request(
            requester.exchange.make_request()
        )
        if not self.is_message_lost():
            requester.exchange.handle_answer(answer)

    def make_answer(self, call: calls.Call) -> call_body.Body:
        """Returns the answer to a call: the bytes of its key."""
        assert call.idempotency_key is not None
        return call_body.BufferedBody(call.idempotency_key.encode())

    def record_run(self, call: calls.Call, instance: str) -> None:
        """Records a run of a key and checks that it is the first."""
        assert call.idempotency_key is not None
        runs = self.runs.setdefault(call.idempotency_key, [])
        call_id = dict(call.headers)[key_calls.CALL_ID_HEADER]
        runs.append(Run(instance, call_id, clock.get_now_ms()))
        if len(runs) > 1:
            self.violations.append(f"{call.idempotency_key} ran twice: {runs}")

    async def send_call(self, name: str, key: str, age_ms: int | None) -> None:
        """Sends a call with a key to one daemon and checks the answer."""
        process = self.processes.get(name)
        if process is None:
            return
        self._call_count += 1
        call_id = f"contact-{self._call_count}"
        started_ms = clock.get_now_ms()
        call = key_calls.make_call(key, call_id, age_ms)
        path = (
            process.naive_path.serve
            if self._is_naive
            else process.path.dispatch
        )
        outcome = await self.run_call(process, path, call)
        self._check(key, call_id, started_ms, outcome)

    def _check(
        self,
        key: str,
        call_id: str,
        started_ms: float,
        outcome: outcomes.Outcome,
    ) -> None:
        name = type(outcome).__name__
        self.outcomes[name] = self.outcomes.get(name, 0) + 1
        runs = self.runs.get(key, [])
        match outcome:
            case outcomes.NotRun():
                conflicting_runs = [
                    run
                    for run in runs
                    if run.call_id == call_id or run.started_ms < started_ms
                ]
                if conflicting_runs:
                    self.violations.append(
                        f"{key} answered not run, but ran: {conflicting_runs}"
                    )
            case outcomes.Completed(body=body):
                if body != call_body.BufferedBody(key.encode()) or not runs:
                    self.violations.append(
                        f"{key} completed with body {body} after runs {runs}"
                    )
            case _:
                pass

    async def close(self) -> None:
        """Stops all processes without notice."""
        for name in tuple(self.processes):
            await self.stop(name, is_planned=False)


def _are_running(*processes: key_processes.Process) -> bool:
    return all(process.running.is_set() for process in processes)
