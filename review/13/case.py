"""A request that crashes workers has the path and body of another caller's."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig_3

SERVICE, CRASHING_CALLER, OTHER_CALLER = "huvo11a", "zeki22b", "wopi33c"
WORKERS, MACHINES_EACH = 3, 2
PREFIX = "/puka111/"
PATH = f"{PREFIX}2f"
# A crashed worker is back after this time.
RESTART_S = 2.0
WORK_S = 0.05
CRASHING_INTERVAL_S = 1.0
OTHERS_INTERVAL_S = 0.1
PLAY_S = 25.0
# Retries of such a request that may reach workers, and from when on they count.
MAX_LATE_RUNS = 3
LATE_S = rig_3.BOUNDS["stableWindowS"]


def is_crashing(request: rig_3.Message) -> bool:
    """Returns whether a request has the path, caller and body that crash."""
    return (
        request.target == PATH
        and not request.body
        and request.get("caller-service") == CRASHING_CALLER
    )


class CrashingWorker(rig_3.Worker):
    """A worker that a certain request crashes, and that starts again."""

    daemon: rig_3.Daemon
    restart: asyncio.Task[None] | None = None

    async def work(self, request: rig_3.Message) -> bytes | None:
        """Crashes or answers."""
        if is_crashing(request):
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
    """Adds the workers that crash, and the machines of both callers."""
    for _ in range(WORKERS):
        plain = rig.add_machine(SERVICE)
        worker = CrashingWorker(
            rig.record, plain.name, SERVICE, plain.address, plain.slots
        )
        worker.daemon = rig.daemons[-1]
        worker.work_s = WORK_S
        rig.workers[-1] = worker
    for caller in (CRASHING_CALLER, OTHER_CALLER):
        for _ in range(MACHINES_EACH):
            rig.add_machine(caller)


async def send_crashing(rig: rig_3.Rig, daemons: list[rig_3.Daemon]) -> None:
    """Sends the request again and again, at the machines in turn."""
    ends_s = rig.record.now_s + PLAY_S
    number = 0
    while rig.record.now_s < ends_s:
        await rig.call(daemons[number % len(daemons)], PATH, method="GET")
        number += 1
        await asyncio.sleep(CRASHING_INTERVAL_S)


async def send_others(rig: rig_3.Rig, daemon: rig_3.Daemon) -> None:
    """Sends requests of the other caller; without trouble to other paths."""
    number = 0
    while True:
        path = PATH if rig.trouble else f"{PREFIX}{number}"
        await rig.call(daemon, path, method="GET")
        number += 1
        await asyncio.sleep(OTHERS_INTERVAL_S)


async def play(rig: rig_3.Rig) -> list[str]:
    """Sends the requests of both callers."""
    add_machines(rig)
    await rig.start(rig_3.make_route(PREFIX, SERVICE, "idempotent"))
    for daemon in rig.daemons:
        await rig.wait_until_served(daemon, f"{PREFIX}ready")
    # All machines are in touch from here on.
    await asyncio.sleep(rig_3.BOUNDS["stableWindowS"])
    machines = {
        caller: [d for d in rig.daemons if d.service == caller]
        for caller in (CRASHING_CALLER, OTHER_CALLER)
    }
    others = [
        asyncio.create_task(send_others(rig, daemon))
        for daemon in machines[OTHER_CALLER] * 2
    ]
    await send_crashing(rig, machines[CRASHING_CALLER])
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    runs = sorted(
        (
            run
            for worker in rig.workers
            for run in worker.runs
            if is_crashing(run.request)
        ),
        key=lambda run: run.at_s,
    )
    if len(runs) < 3:
        raise rig_3.SetupError("the request crashed fewer than three workers")
    late = [run for run in runs if run.at_s > runs[2].at_s + LATE_S]
    if len(late) <= MAX_LATE_RUNS:
        return []
    return [
        f"BUDGET: {run.request_id} reaches {run.worker} at {run.at_s:.3f} s,"
        f" the third crash was at {runs[2].at_s:.3f} s"
        for run in late
    ]


rig_3.run_case(__file__, play)
