"""The settings of a machine change while requests wait for its worker."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig_3

FIRST_SERVICE, OTHER_SERVICE = "huvo11a", "zeki22b"
FIRST_PREFIX, OTHER_PREFIX = "/puka111/", "/cufi502/"
WORK_S = 0.7
SLOTS = 2
CLIENTS = 20


async def play(rig: rig_3.Rig) -> list[str]:
    """Loads two machines of a service, then gives one to another service.

    The worker of the other service runs already, at another port of the
    machine. The platform writes the settings file and sends SIGHUP.
    """
    for _ in range(2):
        rig.add_machine(FIRST_SERVICE, SLOTS).work_s = WORK_S
    ip = rig.make_ip(0)
    other = rig_3.Worker(rig.record, "i-0000ffff", OTHER_SERVICE, f"{ip}:8311")
    rig.workers.append(other)
    await rig.start(
        rig_3.make_route(FIRST_PREFIX, FIRST_SERVICE, targetLatencyS=2.0),
        rig_3.make_route(OTHER_PREFIX, OTHER_SERVICE),
    )
    for daemon in rig.daemons:
        await rig.wait_until_served(daemon, f"{FIRST_PREFIX}2f")
    stop = asyncio.Event()

    async def send_requests(daemon: rig_3.Daemon) -> None:
        while not stop.is_set():
            await rig.call(daemon, f"{FIRST_PREFIX}2f")
            await asyncio.sleep(0.05)

    clients = [
        asyncio.create_task(send_requests(rig.daemons[number % 2]))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(3)
    daemon = rig.daemons[0]
    if rig.trouble:
        daemon.service, daemon.upstream = OTHER_SERVICE, other.address
        daemon.write_settings()
    daemon.signal(signal.SIGHUP)
    await asyncio.sleep(3)
    stop.set()
    await asyncio.gather(*clients)
    return [
        f"ROUTE: {run.request_id} {run.request.start} ran at {run.worker},"
        f" a worker of {run.service}"
        for run in other.runs
        if run.request.target.startswith(FIRST_PREFIX)
    ]


rig_3.run_case(__file__, play)
