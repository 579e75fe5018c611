"""A request that crashes workers comes again after the route has moved."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig_3

SERVICES = ("huvo11a", "zeki22b", "wopi33c")
WORKERS_EACH = 3
PREFIX = "/puka111/"
POISON = f"{PREFIX}poison"
# A crashed worker is back after this time.
RESTART_S = 2.0
WORK_S = 0.3
POISON_INTERVAL_S = 1.0
POISON_S = 12.0
# Retries of such a request that may reach workers, and from when on they count.
MAX_LATE_RUNS = 3
LATE_S = rig_3.BOUNDS["stableWindowS"]


class CrashingWorker(rig_3.Worker):
    """A worker that a certain request crashes, and that starts again."""

    daemon: rig_3.Daemon
    restart: asyncio.Task[None] | None = None

    async def work(self, request: rig_3.Message) -> bytes | None:
        """Crashes or answers."""
        if request.target == POISON:
            self.restart = asyncio.create_task(self._crash())
            await asyncio.sleep(1)
            return None
        return await super().work(request)

    async def _crash(self) -> None:
        self.stop_beats()
        await self.stop()
        self._record.add(f"{self.name} ({self.service}) crashes")
        await asyncio.sleep(RESTART_S)
        self.name = f"{self.name[:10]}-{len(self.runs)}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        await self.start()
        self.start_beats(self.daemon)


def add_machines(rig: rig_3.Rig) -> None:
    """Adds the workers of all services."""
    for service in SERVICES:
        for _ in range(WORKERS_EACH):
            plain = rig.add_machine(service)
            worker = CrashingWorker(
                rig.record, plain.name, service, plain.address, plain.slots
            )
            worker.daemon = rig.daemons[-1]
            worker.work_s = WORK_S
            rig.workers[-1] = worker


async def send_poison(rig: rig_3.Rig) -> None:
    """Sends the request again and again, at the machines of one service.

    So its caller, by which workers know it, stays the same.
    """
    ends_s = rig.record.now_s + POISON_S
    number = 0
    while rig.record.now_s < ends_s:
        daemon = rig.daemons[number % WORKERS_EACH]
        await rig.call(daemon, POISON, method="GET")
        number += 1
        await asyncio.sleep(POISON_INTERVAL_S)


async def send_others(rig: rig_3.Rig, daemon: rig_3.Daemon) -> None:
    """Sends other requests, some of which are in progress at each crash."""
    number = 0
    while True:
        await rig.call(daemon, f"{PREFIX}{number}")
        number += 1


async def play(rig: rig_3.Rig) -> list[str]:
    """Sends the request; then the route moves, unless without trouble."""
    add_machines(rig)
    await rig.start(rig_3.make_route(PREFIX, SERVICES[0], "idempotent"))
    for daemon in rig.daemons:
        await rig.wait_until_served(daemon, f"{PREFIX}2f")
    # All machines are in touch from here on.
    await asyncio.sleep(rig_3.BOUNDS["stableWindowS"])
    others = [
        asyncio.create_task(send_others(rig, daemon)) for daemon in rig.daemons
    ]
    await send_poison(rig)
    if rig.trouble:
        # The route is split between the two other services.
        clusters = [
            {"service": service, "weight": 1.0} for service in SERVICES[1:]
        ]
        route = rig_3.make_route(PREFIX, "", "idempotent")
        del route["service"]
        rig.publish(route | {"weightedClusters": clusters})
        await asyncio.sleep(rig_3.BOUNDS["configApplyS"] + 1)
    await send_poison(rig)
    await send_poison(rig)
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    runs = sorted(
        (
            run
            for worker in rig.workers
            for run in worker.runs
            if run.request.target == POISON
        ),
        key=lambda run: run.at_s,
    )
    if len(runs) < 3:
        raise rig_3.SetupError("the request crashed fewer than three workers")
    late = [run for run in runs if run.at_s > runs[2].at_s + LATE_S]
    if len(late) <= MAX_LATE_RUNS:
        return []
    return [
        f"BUDGET: {run.request_id} reaches {run.worker} ({run.service}) at"
        f" {run.at_s:.3f} s, the third crash was at {runs[2].at_s:.3f} s"
        for run in late
    ]


rig_3.run_case(__file__, play)
