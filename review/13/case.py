"""A worker's address goes to a worker of another service."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import rig_3

FIRST_SERVICE, OTHER_SERVICE = "huvo11a", "zeki22b"
FIRST_PREFIX, OTHER_PREFIX = "/puka111/", "/cufi502/"
# The address is used again this long after its first worker has ended.
REUSE_S = rig_3.BOUNDS["addrReuseS"] + 0.5
CLIENTS = 4


async def play(rig: rig_3.Rig) -> list[str]:
    """Ends one worker of the first service; its address is used again.

    The new worker is one of the other service, or of the same one without the
    trouble. The platform changes the settings file in the moment in which the
    new worker starts.
    """
    ended = rig.add_machine(FIRST_SERVICE)
    rig.add_machine(FIRST_SERVICE)
    rig.add_machine(FIRST_SERVICE)
    rig.add_machine(OTHER_SERVICE)
    await rig.start(
        rig_3.make_route(FIRST_PREFIX, FIRST_SERVICE),
        rig_3.make_route(OTHER_PREFIX, OTHER_SERVICE),
    )
    for daemon in rig.daemons:
        await rig.wait_until_served(daemon, f"{FIRST_PREFIX}2f")
        await rig.wait_until_served(daemon, f"{OTHER_PREFIX}2f")
    stop = asyncio.Event()

    async def send_requests(daemon: rig_3.Daemon) -> None:
        while not stop.is_set():
            await rig.call(daemon, f"{FIRST_PREFIX}2f")
            await asyncio.sleep(0.02)

    clients = [
        asyncio.create_task(send_requests(rig.daemons[1 + number % 3]))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(4)
    ended.stop_beats()
    await ended.stop()
    rig.record.add(f"{ended.name} ({ended.service}) ends")
    await asyncio.sleep(REUSE_S)
    daemon = rig.daemons[0]
    service = OTHER_SERVICE if rig.trouble else FIRST_SERVICE
    started = rig_3.Worker(
        rig.record, "i-0000ffff", service, ended.address, ended.slots
    )
    rig.workers.append(started)
    rig.record.add(f"{started.name} ({service}) starts at the same address")
    daemon.service = service
    daemon.write_settings()
    await started.start()
    started.start_beats(daemon)
    await asyncio.sleep(5)
    stop.set()
    await asyncio.gather(*clients)
    return [
        f"ROUTE: {run.request_id} {run.request.start} ran at {run.worker},"
        f" a worker of {run.service}"
        for worker in rig.workers
        for run in worker.runs
        if run.request.target.startswith(FIRST_PREFIX)
        and run.service != FIRST_SERVICE
    ]


rig_3.run_case(__file__, play)
