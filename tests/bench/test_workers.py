"""The stand-ins for processes and workers."""

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

SERVICE = deployments.Service("s", 1, 1, 100.0)
STEP = deployments.Step("GET", "s", "/p", 1.0, (), is_parallel=False)
CHAIN = deployments.Chain("c", STEP)
POISON = deployments.Chain("p", STEP, is_poison=True)
PARENT = deployments.Chain(
    "d", dataclasses.replace(STEP, children=(STEP, STEP))
)
SPREAD_RATIO = 1.0 + workers.SPREAD_RATIO


class World:
    """One worker and what it needs."""

    def __init__(self) -> None:
        self.book = jobs.JobBook()
        self.records = bench_records.Records()
        place = placement.Place("s-1", "here", SERVICE)
        self.worker = workers.FakeWorker(place, self.book, self.records, "1")
        self.children: list[jobs.Job] = []
        self.child_status = 200

    async def run(self, chain: deployments.Chain) -> outcomes.Completed:
        """Runs a request of a chain at the worker."""
        job = self.book.make_root(chain, 1, clock.get_now_ms())
        return await self.worker.process.run(
            self.worker.handle(job, self.send_child)
        )

    async def send_child(self, job: jobs.Job) -> outcomes.Outcome:
        """Answers a call that the worker makes."""
        self.children.append(job)
        return jobs.make_answer(job, self.child_status)


@dataclasses.dataclass(frozen=True)
class SlowCase:
    """A slowdown and the time that a call of 100 ms takes, spread aside."""

    ratio: float
    ends_ms: float
    takes_ms: float


SLOW_CASES = {
    "not slowed": SlowCase(10.0, 0.0, 100.0),
    "slowed for the whole call": SlowCase(10.0, 5000.0, 1000.0),
    "slowed for a part of it": SlowCase(10.0, 500.0, 550.0),
}


@pytest.mark.looptime
@pytest.mark.parametrize("case", SLOW_CASES.values(), ids=SLOW_CASES.keys())
async def test_slowdown_ends_in_the_middle_of_a_call(case: SlowCase) -> None:
    world = World()
    now_ms = clock.get_now_ms()
    world.worker.slow_down(case.ratio, now_ms + case.ends_ms)
    await world.run(CHAIN)
    taken_ms = clock.get_now_ms() - now_ms
    assert case.takes_ms / SPREAD_RATIO < taken_ms
    assert taken_ms < case.takes_ms * SPREAD_RATIO


@pytest.mark.looptime
async def test_calls_beyond_the_slots_wait_in_order() -> None:
    world = World()
    ended_ms: list[float] = []

    async def run() -> None:
        await world.run(CHAIN)
        ended_ms.append(clock.get_now_ms())

    await asyncio.gather(run(), run(), run())
    assert ended_ms[2] - ended_ms[0] > SERVICE.service_ms


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("child_status", "status", "children"), [(200, 200, 2), (503, 502, 1)]
)
async def test_a_failed_child_fails_the_call(
    child_status: int, status: int, children: int
) -> None:
    world = World()
    world.child_status = child_status
    answer = await world.run(PARENT)
    assert answer.status == status
    assert len(world.children) == children


@pytest.mark.looptime
async def test_poison_loses_all_calls_and_the_worker_comes_back() -> None:
    world = World()
    innocent = asyncio.create_task(world.run(CHAIN))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    world.worker.crash(workers.POISON_RESTART_MS)
    with pytest.raises(bench_process.ProcessLostError):
        await innocent
    with pytest.raises(bench_process.ProcessDownError):
        await world.run(CHAIN)
    await asyncio.sleep(workers.POISON_RESTART_MS / 1000.0)
    with pytest.raises(bench_process.ProcessLostError):
        await world.run(POISON)
    assert world.records.crashes["s"] == 2


@pytest.mark.looptime
async def test_a_cancelled_sender_cancels_what_it_sent() -> None:
    world = World()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.01):
            await world.run(PARENT)
    await asyncio.sleep(1.0)
    assert not world.children


@pytest.mark.looptime
async def test_a_paused_process_holds_answers_back() -> None:
    world = World()
    started_ms = clock.get_now_ms()
    world.worker.process.pause()
    asyncio.get_running_loop().call_later(3.0, world.worker.process.resume)
    await world.run(CHAIN)
    assert clock.get_now_ms() - started_ms == pytest.approx(3000.0)
    assert world.worker.process.get_lost_ms() == pytest.approx(3000.0)
