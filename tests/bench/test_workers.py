"""Tests of the simulated workers and of the processes that run them."""

import asyncio
import dataclasses

import pytest

from kumquatridge import clock
from kumquatridge.bench import deployments
from kumquatridge.bench import jobs
from kumquatridge.bench import placement
from kumquatridge.bench import process as bench_process
from kumquatridge.bench import records as bench_records
from kumquatridge.bench import workers
from kumquatridge.calls import outcomes

# One worker with one slot and a service time of 100 ms.
SERVICE = deployments.Service("s", 1, 1, 100.0)
STEP = deployments.Step("GET", "s", "/p", 1.0, (), is_parallel=False)
CHAIN = deployments.Chain("c", STEP)
POISON = deployments.Chain("p", STEP, is_poison=True)
# A call with two sequential child calls.
PARENT = deployments.Chain(
    "d", dataclasses.replace(STEP, children=(STEP, STEP))
)
MAX_JITTER_FACTOR = 1.0 + workers.SERVICE_TIME_JITTER_RATIO


class Harness:
    """One worker with its records; answers its child calls itself."""

    def __init__(self) -> None:
        self.job_registry = jobs.JobRegistry()
        self.records = bench_records.Records()
        worker_placement = placement.WorkerPlacement("s-1", "here", SERVICE)
        self.worker = workers.FakeWorker(
            worker_placement, self.job_registry, self.records, "1"
        )
        self.children: list[jobs.Job] = []
        self.child_status = 200

    async def run(self, chain: deployments.Chain) -> outcomes.Completed:
        """Runs the root call of a chain at the worker."""
        job = self.job_registry.make_root(chain, 1, clock.get_now_ms())
        return await self.worker.process.run(
            self.worker.handle(job, self.send_child)
        )

    async def send_child(self, job: jobs.Job) -> outcomes.Outcome:
        """Records a child call and answers it with `child_status`."""
        self.children.append(job)
        return jobs.make_answer(job, self.child_status)


@dataclasses.dataclass(frozen=True)
class SlowCase:
    """A slowdown and its effect on a call with a service time of 100 ms.

    The service time is multiplied by `slowdown_ratio` until `ends_ms` after the
    start of the call; `takes_ms` is the expected duration without jitter.
    """

    slowdown_ratio: float
    ends_ms: float
    takes_ms: float


SLOW_CASES = {
    "no slowdown": SlowCase(10.0, 0.0, 100.0),
    "slowdown of the whole call": SlowCase(10.0, 5000.0, 1000.0),
    # 50 of the 100 ms of work are done in the first 500 ms.
    "slowdown of a part of the call": SlowCase(10.0, 500.0, 550.0),
}


@pytest.mark.looptime
@pytest.mark.parametrize("case", SLOW_CASES.values(), ids=SLOW_CASES.keys())
async def test_slowdown_applies_until_its_end(case: SlowCase) -> None:
    harness = Harness()
    now_ms = clock.get_now_ms()
    harness.worker.slow_down(case.slowdown_ratio, now_ms + case.ends_ms)
    await harness.run(CHAIN)
    taken_ms = clock.get_now_ms() - now_ms
    assert case.takes_ms / MAX_JITTER_FACTOR < taken_ms
    assert taken_ms < case.takes_ms * MAX_JITTER_FACTOR


@pytest.mark.looptime
async def test_calls_beyond_the_slots_wait() -> None:
    harness = Harness()
    ended_ms: list[float] = []

    async def run() -> None:
        await harness.run(CHAIN)
        ended_ms.append(clock.get_now_ms())

    await asyncio.gather(run(), run(), run())
    assert ended_ms[2] - ended_ms[0] > SERVICE.service_ms


@pytest.mark.looptime
# `children` is the number of child calls made: the first failure ends them.
@pytest.mark.parametrize(
    ("child_status", "status", "children"), [(200, 200, 2), (503, 502, 1)]
)
async def test_failed_child_fails_the_call(
    child_status: int, status: int, children: int
) -> None:
    harness = Harness()
    harness.child_status = child_status
    answer = await harness.run(PARENT)
    assert answer.status == status
    assert len(harness.children) == children


@pytest.mark.looptime
async def test_crash_ends_all_calls_until_the_worker_restarts() -> None:
    harness = Harness()
    other_call = asyncio.create_task(harness.run(CHAIN))
    # Two iterations of the event loop start the call: one starts its task, the
    # other the task that the worker's process creates for it.
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    harness.worker.crash(workers.POISON_RESTART_MS)
    with pytest.raises(bench_process.ProcessKilledError):
        await other_call
    with pytest.raises(bench_process.ProcessDownError):
        await harness.run(CHAIN)
    await asyncio.sleep(workers.POISON_RESTART_MS / 1000.0)
    with pytest.raises(bench_process.ProcessKilledError):
        await harness.run(POISON)
    assert harness.records.crashes["s"] == 2


@pytest.mark.looptime
async def test_cancelled_sender_cancels_the_call() -> None:
    harness = Harness()
    with pytest.raises(TimeoutError):
        # Far less than the service time of 100 ms, after which the call makes
        # its child calls.
        async with asyncio.timeout(0.01):
            await harness.run(PARENT)
    await asyncio.sleep(1.0)
    assert not harness.children


@pytest.mark.looptime
async def test_paused_process_delays_answers() -> None:
    harness = Harness()
    started_ms = clock.get_now_ms()
    harness.worker.process.pause()
    asyncio.get_running_loop().call_later(3.0, harness.worker.process.resume)
    # The work ends during the pause of 3 s, the answer is sent after it.
    await harness.run(CHAIN)
    assert clock.get_now_ms() - started_ms == pytest.approx(3000.0)
    assert harness.worker.process.get_stall_ms() == pytest.approx(3000.0)
