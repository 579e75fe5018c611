"""Stand-in for a worker, in virtual time."""

import asyncio
from collections.abc import Callable, Coroutine
import dataclasses
import random
from typing import Any

from kumquatridge import clock
from kumquatridge.bench import deployments
from kumquatridge.bench import jobs
from kumquatridge.bench import placement
from kumquatridge.bench import process
from kumquatridge.bench import records as bench_records
from kumquatridge.calls import outcomes

# Time for which a worker is down after a poison call crashed it.
POISON_RESTART_MS = 2000.0
# Largest deviation from the service time, relative to the service time.
SERVICE_TIME_JITTER_RATIO = 0.2

# Sends a child call of the call that a worker is running.
SendChild = Callable[[jobs.Job], Coroutine[Any, Any, outcomes.Outcome]]


@dataclasses.dataclass(frozen=True, slots=True)
class _Slowdown:
    """Multiplies service times by `ratio` until `ends_ms`."""

    ratio: float
    ends_ms: float


class FakeWorker:
    """Runs calls in slots; calls without a slot wait in an unbounded queue."""

    def __init__(
        self,
        worker_placement: placement.WorkerPlacement,
        job_registry: jobs.JobRegistry,
        records: bench_records.Records,
        seed: str,
    ) -> None:
        self.name = worker_placement.name
        self.service = worker_placement.service
        self.process = process.FakeProcess(worker_placement.name)
        self._slots = asyncio.Semaphore(worker_placement.service.slots)
        self._job_registry = job_registry
        self._records = records
        self._random = random.Random(f"{seed}/{worker_placement.name}")
        self._slowdown = _Slowdown(1.0, 0.0)

    def slow_down(self, slowdown_ratio: float, ends_ms: float) -> None:
        """Multiplies the service time of calls that start from now on.

        After `ends_ms` the calls continue at normal speed.
        """
        self._slowdown = _Slowdown(slowdown_ratio, ends_ms)

    async def handle(
        self, job: jobs.Job, send_child: SendChild
    ) -> outcomes.Completed:
        """Runs a call and its child calls; a poison call crashes the worker."""
        async with self._slots:
            self._records.record_run(job)
            if job.is_poison:
                self.crash(POISON_RESTART_MS)
            await asyncio.sleep(self._get_work_s(job.step))
            all_succeeded = await self._send_children(job, send_child)
            await self.process.wait_while_paused()
        status = jobs.STATUS_OK if all_succeeded else jobs.STATUS_CHILD_FAILED
        return jobs.make_answer(job, status)

    def crash(self, restart_ms: float) -> None:
        """Ends all in-flight calls; the worker restarts after `restart_ms`."""
        self._records.crashes[self.service.name] += 1
        self.process.kill()
        asyncio.get_running_loop().call_later(
            restart_ms / 1000.0, self.process.start
        )

    async def _send_children(
        self, job: jobs.Job, send_child: SendChild
    ) -> bool:
        """Sends the child calls of a job; returns whether all succeeded.

        Sequential child calls end with the first that fails.
        """
        children = [
            self._job_registry.make_child(job, position)
            for position in range(len(job.step.children))
        ]
        if job.step.is_parallel:
            answers = await asyncio.gather(*map(send_child, children))
            return all(map(jobs.is_success, answers))
        for child in children:
            if not jobs.is_success(await send_child(child)):
                return False
        return True

    def _get_work_s(self, step: deployments.Step) -> float:
        """Returns how long a call takes that starts now, without children."""
        jitter = self._random.uniform(
            1 - SERVICE_TIME_JITTER_RATIO, 1 + SERVICE_TIME_JITTER_RATIO
        )
        work_ms = self.service.service_ms * step.work_ratio * jitter
        return self._apply_slowdown_ms(work_ms) / 1000.0

    def _apply_slowdown_ms(self, work_ms: float) -> float:
        """Returns how long work takes that starts now, with the slowdown."""
        left_ms = max(0.0, self._slowdown.ends_ms - clock.get_now_ms())
        work_while_slow_ms = left_ms / self._slowdown.ratio
        if work_while_slow_ms >= work_ms:
            return work_ms * self._slowdown.ratio
        return left_ms + work_ms - work_while_slow_ms
