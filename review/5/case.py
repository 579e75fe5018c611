"""Silent connections to the store keep an old configuration in force."""

import asyncio
import pathlib

import rig

WATCHED_S = 8.0
INTERVAL_S = 0.02


async def run(
    record: rig.Record, deployment: rig.Deployment, is_troubled: bool
) -> list[str]:
    """Changes the configuration after open connections went silent."""
    for service in ("huvo11a", "huvo11a", "kafi81c", "kafi81c"):
        deployment.add(service)
    deployment.store.publish(rig.make_route("/leny950/", "huvo11a"))
    await deployment.start()
    await asyncio.sleep(rig.IN_TOUCH_S + 1.0)
    deployment.store.publish(
        rig.make_route("/leny950/", "huvo11a"),
        rig.make_route("/cufi502/", "kafi81c"),
    )
    await asyncio.sleep(1.0)
    if is_troubled:
        deployment.store.silence_open_connections()
    in_touch_s = record.get_now_s() + rig.IN_TOUCH_S
    await asyncio.sleep(0.2)
    deployment.store.publish(
        rig.make_route("/leny950/", "kafi81c"),
        rig.make_route("/cufi502/", "kafi81c"),
    )
    acknowledged_s = record.get_now_s()
    clients = [
        deployment.make_client(machine) for machine in deployment.machines
    ]
    loop = asyncio.get_running_loop()
    until_s = loop.time() + WATCHED_S
    async with asyncio.TaskGroup() as group:
        number = 0
        while loop.time() < until_s:
            number += 1
            client = clients[number % len(clients)]
            group.create_task(client.send(f"/leny950/{number}"))
            await asyncio.sleep(INTERVAL_S)
    due_s = max(in_touch_s, acknowledged_s + rig.CONFIG_APPLY_S)
    sent_s = {
        answer.request_id: answer.sent_s
        for client in clients
        for answer in client.answers
    }
    return [
        f"CONFIG: {run.request_id}, sent {sent_s[run.request_id]:.3f} s, due"
        f" from {due_s:.3f} s, was run by {run.service}"
        for run in deployment.runs
        if run.service == "huvo11a" and sent_s.get(run.request_id, 0.0) > due_s
    ]


if __name__ == "__main__":
    rig.main(run, pathlib.Path(__file__).parent)
