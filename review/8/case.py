"""A stopping daemon accepts requests that it then breaks off itself."""

import asyncio
import functools
import signal

import rig_2 as rig

PATH = "/cufi502/"
# Bounds of large/milchrunde-large.toml.
GRACE_S = 10.0
BOUNDS = {
    "stableWindowS": 4,
    "ackS": 5,
    "syncS": 6,
    "drainS": 3,
    "graceS": int(GRACE_S),
    "configApplyS": 3,
    "maxStretchS": 6,
    "retrySlack": 213,
}
# `manifest-upload` of that site.
DEADLINE_MS = 6000
# A long upload; its work ends before SIGKILL and before its deadline.
WORK_S = 4.6
LONG_AFTER_S = (3.6, 4.0, 4.4, 4.6, 4.8)
# Uploads of usual length (cold workers need twice the mean of 0.36 s) that the
# callers send all the while.
USUAL_WORK_S = 0.7
USUAL_INTERVAL_S = 0.13
USUAL_UNTIL_S = 5.0
STOPPED = ("side-1", "side-2")
MACHINES = {
    "side-1": ("bayern-nord", "huvo11a"),
    "side-2": ("bayern-nord", "huvo11a"),
    "side-3": ("bayern-nord", "huvo11a"),
    "side-4": ("bayern-mitte", "molk77c"),
    "side-5": ("bayern-mitte", "molk77c"),
}


async def play(record: rig.Record, is_disrupted: bool) -> bool:
    """Stops two of the three daemons of a zone and goes on uploading."""
    async with rig.Deployment(record, MACHINES, BOUNDS) as deployment:
        route = rig.make_route(
            PATH, "molk77c", routeType="upload", timeoutS=6, priority=1
        )
        await deployment.publish([route])
        workers = [
            rig.Worker(
                record,
                machine,
                f"i-{name}",
                get_work_s=get_work_s,
            )
            for name, machine in deployment.machines.items()
        ]
        await deployment.start_daemons()
        for worker in workers:
            await worker.start()
        for name in MACHINES:
            await rig.wait_until_served(deployment, name, PATH, "POST")
        # All machines are calm for longer than `stableWindowS`.
        await asyncio.sleep(5.0)
        usual = asyncio.gather(
            *map(functools.partial(send_usual, deployment), STOPPED)
        )
        await asyncio.sleep(1.0)
        started_s = record.now_s()
        if is_disrupted:
            for name in STOPPED:
                deployment.signal(name, signal.SIGTERM)
        killing = asyncio.create_task(kill_later(deployment, is_disrupted))
        answers = await asyncio.gather(
            *(
                send_later(
                    deployment, name, started_s + after_s, f"long-{number}"
                )
                for name in STOPPED
                for number, after_s in enumerate(LONG_AFTER_S)
            )
        )
        answers += [pair for pairs in await usual for pair in pairs]
        await killing
        passed_on = {run.request_id for item in workers for run in item.runs}
        lost = [
            request_id
            for request_id, answer in answers
            if not answer.status and request_id in passed_on
        ]
        record.note(f"passed on and without an answer: {len(lost)} {lost}")
        return not lost


def get_work_s(path: str) -> float:
    """Returns how long the work on a request takes."""
    if "long" in path:
        return WORK_S
    return USUAL_WORK_S if "usual" in path else 0.05


async def send_usual(
    deployment: rig.Deployment, name: str
) -> list[tuple[str, rig.Answer]]:
    """Sends uploads of usual length at regular intervals."""
    started_s = deployment.record.now_s()
    count = int((1.0 + USUAL_UNTIL_S) / USUAL_INTERVAL_S)
    return await asyncio.gather(
        *(
            send_later(
                deployment,
                name,
                started_s + number * USUAL_INTERVAL_S,
                f"usual-{number}",
            )
            for number in range(count)
        )
    )


async def kill_later(deployment: rig.Deployment, is_disrupted: bool) -> None:
    """Sends SIGKILL `graceS` after SIGTERM to what still runs."""
    await asyncio.sleep(GRACE_S)
    for name in STOPPED if is_disrupted else ():
        process = deployment.processes[name]
        if process.returncode is None:
            deployment.signal(name, signal.SIGKILL)
        else:
            deployment.record.note(f"daemon {name} had ended by itself")


async def send_later(
    deployment: rig.Deployment, name: str, at_s: float, label: str
) -> tuple[str, rig.Answer]:
    """Sends an upload on a new connection; `label` says how long it takes."""
    caller = rig.Caller(deployment.record, deployment.machines[name])
    await asyncio.sleep(max(0.0, at_s - deployment.record.now_s()))
    request = rig.Request(
        f"{name}-{label}",
        f"{PATH}{label}",
        "POST",
        DEADLINE_MS,
        b"manifest " * 1000,
    )
    answer = await caller.send(request)
    caller.close()
    return request.request_id, answer


if __name__ == "__main__":
    rig.main(".", play)
