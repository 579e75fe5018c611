"""A worker whose departure was acknowledged gets requests again."""

import asyncio
import pathlib
import signal

import rig

# How long the worker serves after the acknowledgement.
SERVES_S = 12.0
# The delay of one heartbeat.
HEARTBEAT_DELAY_S = 3.0
DOWN_S = 0.5
INTERVAL_S = 0.02


async def run(
    record: rig.Record, deployment: rig.Deployment, is_troubled: bool
) -> list[str]:
    """Kills the daemon of a worker that leaves; a heartbeat comes late."""
    leaving = deployment.add("huvo11a")
    deployment.add("huvo11a")
    deployment.add("kafi81c")
    deployment.store.publish(rig.make_route("/leny950/", "huvo11a"))
    await deployment.start()
    await asyncio.sleep(rig.IN_TOUCH_S + 1.0)
    client = deployment.make_client(deployment.machines[2])
    loop = asyncio.get_running_loop()
    # Sent while the worker was ready, and late on its way.
    late = leaving.make_heartbeat()
    late_at_s = loop.time() + HEARTBEAT_DELAY_S
    leaving.leave()
    await rig.wait_until(leaving.deregister, "the departure is acknowledged")
    acknowledged_s = record.get_now_s()
    if is_troubled:
        await leaving.machine.end(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        await leaving.machine.start()
    async with asyncio.TaskGroup() as group:
        group.create_task(_report_late(record, leaving, late, late_at_s))
        until_s = loop.time() + SERVES_S
        number = 0
        while loop.time() < until_s:
            number += 1
            group.create_task(client.send(f"/leny950/{number}"))
            await asyncio.sleep(INTERVAL_S)
    # By then the daemon that was killed is in touch again.
    due_s = acknowledged_s + DOWN_S + rig.IN_TOUCH_S + 0.5
    sent_s = {answer.request_id: answer.sent_s for answer in client.answers}
    return [
        f"DRAIN: {run.request_id} reached {run.worker}"
        f" {run.at_s - acknowledged_s:.1f} s after the acknowledgement"
        for run in leaving.runs
        if sent_s.get(run.request_id, 0.0) > due_s
    ]


async def _report_late(
    record: rig.Record, leaving: rig.Worker, late: bytes, at_s: float
) -> None:
    """Delivers the delayed heartbeat."""
    await asyncio.sleep(at_s - asyncio.get_running_loop().time())
    status = await leaving.report(late)
    record.add(f"the late heartbeat of {leaving.name} gets {status}")


if __name__ == "__main__":
    rig.main(run, pathlib.Path(__file__).parent)
