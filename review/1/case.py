"""A refusal that arrives twice makes a worker run a booking twice."""

import asyncio
import collections
from collections.abc import Callable
import pathlib
import random

import rig

SHED_RATIO = 0.45
# One answer in 34: below 0.03.
ANSWERS_PER_COPY = 34
REQUESTS = 2000
INTERVAL_S = 0.025
REFUSED = (408, 421, 429, 503)


def make_shedder(seed: int) -> Callable[[], bool]:
    """Returns the choice of the requests that a worker rejects."""
    source = random.Random(seed)
    return lambda: source.random() < SHED_RATIO


def make_copier(
    worker: rig.Worker,
) -> Callable[[rig.Message, bool], bool]:
    """Returns the choice of the answers that are sent once more, late.

    The copies fall on rejections, at most one in `ANSWERS_PER_COPY` answers.
    """
    copied_at = -ANSWERS_PER_COPY

    def choose(request: rig.Message, is_refusal: bool) -> bool:
        nonlocal copied_at
        del request
        is_due = worker.answers - copied_at >= ANSWERS_PER_COPY
        if is_due and is_refusal:
            copied_at = worker.answers
            return True
        return False

    return choose


async def run(
    record: rig.Record, deployment: rig.Deployment, is_troubled: bool
) -> list[str]:
    """Sends bookings while the workers reject some of them."""
    workers = [deployment.add("wuno96b") for _ in range(2)]
    for seed, worker in enumerate(workers):
        worker.work_s = 0.05
        if is_troubled:
            worker.choose_refusal = make_shedder(seed)
    if is_troubled:
        workers[0].choose_copy = make_copier(workers[0])
    deployment.store.publish(
        rig.make_route(
            "/puka111/",
            "wuno96b",
            routeType="non_idempotent",
            maxAttempts=1,
        )
    )
    await deployment.start()
    await asyncio.sleep(rig.IN_TOUCH_S + 1.0)
    client = deployment.make_client(deployment.machines[0])
    async with asyncio.TaskGroup() as group:
        for number in range(REQUESTS):
            group.create_task(client.send(f"/puka111/{number}", "POST"))
            await asyncio.sleep(INTERVAL_S)
    # A worker may still be at work on what a daemon has left behind.
    await asyncio.sleep(1.0)
    counts = collections.Counter(run.request_id for run in deployment.runs)
    breaks = [
        f"TWICE: {request_id} ran {count} times"
        for request_id, count in counts.items()
        if count > 1
    ]
    breaks += [
        f"REFUSED: {answer.request_id} was answered {answer.status} and ran"
        for answer in client.answers
        if answer.status in REFUSED and counts[answer.request_id]
    ]
    record.add(f"worker answers: {[worker.answers for worker in workers]}")
    return breaks


if __name__ == "__main__":
    rig.main(run, pathlib.Path(__file__).parent)
