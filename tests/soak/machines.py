"""Machines of a soak test: a daemon process and the worker beside it."""

import asyncio
import contextlib
import json
import pathlib
import random
import signal
import sys
import time

from kumquatridge.platform import settings_file
from kumquatridge.transport import errors as transport_errors
from tests.platform import deployment as deployments
from tests.platform import faulty_worker
from tests.platform import measure
from tests.soak import callers
from tests.soak import disruptions
from tests.soak import promises

HEARTBEAT_S = 0.5
# A worker that leaves serves on for this long.
SERVES_ON_S = 3.0
# SIGKILL follows SIGTERM after this time.
GRACE_S = 6.0
SLOTS = 16
# Interval at which readiness is asked for.
POLL_S = 0.1


class Machine:
    """A daemon process, its worker and its callers.

    `number` is the index of its settings in the deployment.
    """

    def __init__(
        self,
        deployment: deployments.Deployment,
        number: int,
        ratios: disruptions.AnswerRatios,
        folder: pathlib.Path,
        seed: int,
    ) -> None:
        self._deployment = deployment
        self._number = number
        self._ratios = ratios
        self._folder = folder
        self._random = random.Random(seed)
        self._starting = asyncio.Lock()
        self._process: asyncio.subprocess.Process | None = None
        self._process_count = 0
        self._worker_count = 0
        self._sequence = 0
        self._reports: asyncio.Task[None] | None = None
        self._born_ms = 0
        self._is_draining = False
        self.departures: list[promises.Departure] = []
        self.workers: list[faulty_worker.FaultyWorker] = []
        self.callers = [
            callers.Caller(
                f"c{number}{index}",
                self.settings.caller_address,
                self._random.getrandbits(32),
            )
            for index in range(3)
        ]

    @property
    def settings(self) -> settings_file.PlatformSettings:
        """The settings of the daemon."""
        return self._deployment.settings[self._number]

    # The daemon.

    async def ensure_daemon(self) -> None:
        """Starts the daemon unless it runs."""
        async with self._starting:
            if self._process is not None and self._process.returncode is None:
                return
            file = measure.write_settings(self.settings, self._folder)
            port = self.settings.metrics_address.rpartition(":")[2]
            with file.with_suffix(".log").open("ab") as log:
                self._process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    measure.PROGRAM,
                    "--settings",
                    str(file),
                    "--metrics-port",
                    port,
                    stdout=log,
                    stderr=log,
                )
            self._process_count += 1
            for caller in self.callers:
                caller.process = f"{self._number}.{self._process_count}"

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the daemon if it runs."""
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(number)

    async def wait_for_end(self) -> None:
        """Waits for the end of the daemon; kills it after the grace period."""
        process = self._process
        if process is None:
            return
        try:
            async with asyncio.timeout(GRACE_S):
                await process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()

    async def wait_until_ready(self) -> None:
        """Waits until the daemon says that it is ready."""
        is_ready = False
        while not is_ready:
            await asyncio.sleep(POLL_S)
            is_ready = await self._is_ready()

    async def _is_ready(self) -> bool:
        try:
            status = await self._deployment.get_readiness_status(self._number)
        except transport_errors.TransportError:
            return False
        return status == 200

    # The worker.

    @property
    def worker(self) -> faulty_worker.FaultyWorker:
        """The newest worker."""
        return self.workers[-1]

    async def start_worker(self) -> None:
        """Starts a new worker at the address of this machine."""
        service = self.settings.service
        self._worker_count += 1
        worker = faulty_worker.FaultyWorker(
            f"w{self._number}.{self._worker_count}",
            service,
            self._choose_plan,
            SLOTS,
        )
        worker.address = self.settings.worker_address
        worker.behaviour = deployments.Behaviour(work_ms=20.0)
        self.workers.append(worker)
        self._born_ms = time.time_ns() // 1_000_000
        self._sequence = 0
        self._is_draining = False
        await worker.start()
        self._reports = asyncio.create_task(self._report_regularly())

    async def stop_worker(self) -> None:
        """Ends the worker as a crash does."""
        if self._reports is not None:
            self._reports.cancel()
        await self.worker.stop()

    def stop_faulty_answers(self) -> None:
        """Makes all further answers of the workers proper ones."""
        self._ratios = disruptions.AnswerRatios()

    def _choose_plan(
        self, request: faulty_worker.ReceivedRequest
    ) -> faulty_worker.AnswerPlan:
        ratios = self._ratios
        return faulty_worker.AnswerPlan(
            is_refused=self._random.random() < ratios.refused,
            is_copied=self._random.random() < ratios.copied,
            is_cut=self._random.random() < ratios.cut,
        )

    async def _report_regularly(self) -> None:
        while True:
            await self.report(self._make_report())
            await asyncio.sleep(HEARTBEAT_S)

    def _make_report(self) -> bytes:
        self._sequence += 1
        worker = self.worker
        value = {
            "address": worker.address,
            "born": self._born_ms,
            "info": {"service": worker.service, "maxConcurrency": SLOTS},
            "status": {
                "state": "draining" if self._is_draining else "ready",
                "sequence": self._sequence,
            },
        }
        return json.dumps(value).encode()

    async def report(self, data: bytes) -> bool:
        """Sends a report; returns whether it was acknowledged."""
        name = self.worker.name
        return await self._announce(f"Heartbeat/{name}", data)

    async def _announce(self, call: str, data: bytes) -> bool:
        with contextlib.suppress(transport_errors.TransportError, TimeoutError):
            async with asyncio.timeout(1.0):
                return (
                    await self._deployment.announce(self._number, call, data)
                    == 200
                )
        return False

    async def depart(self, departure: disruptions.Depart) -> None:
        """Lets the worker leave and starts the next one."""
        worker, born_ms = self.worker, self._born_ms
        if self._is_draining or not worker.is_healthy:
            return
        late_report = self._make_report()
        self._is_draining = True
        worker.is_healthy = False
        if self._reports is not None:
            self._reports.cancel()
        if departure.reports_draining:
            await self._wait_for_acknowledgement(
                worker.name, f"Heartbeat/{worker.name}", self._make_report()
            )
        else:
            await self._wait_for_acknowledgement(
                worker.name,
                f"Deregister/{worker.name}",
                b'{"born":%d}' % born_ms,
            )
        await asyncio.sleep(departure.late_s)
        await self._announce(f"Heartbeat/{worker.name}", late_report)
        await asyncio.sleep(max(0.0, SERVES_ON_S - departure.late_s))
        if worker is self.worker:
            await self.stop_worker()
            await self.start_worker()

    async def _wait_for_acknowledgement(
        self, worker: str, call: str, data: bytes
    ) -> None:
        """Repeats an announcement until it is acknowledged, for 4 s."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + 4.0
        while loop.time() < until_s:
            if await self._announce(call, data):
                acknowledged = promises.Departure(worker, loop.time())
                self.departures.append(acknowledged)
                return
            await asyncio.sleep(0.1)

    async def crash_worker(self, down_s: float) -> None:
        """Ends the worker without notice and starts the next one."""
        worker = self.worker
        await self.stop_worker()
        await asyncio.sleep(down_s)
        if worker is self.worker:
            await self.start_worker()

    async def close(self) -> None:
        """Ends the daemon and the worker."""
        self.signal(signal.SIGKILL)
        await self.wait_for_end()
        await self.stop_worker()
