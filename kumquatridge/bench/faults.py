"""Brings about the faults of a scenario at their times."""

import asyncio
import random

from kumquatridge import clock
from kumquatridge.bench import fleets
from kumquatridge.bench import scenario
from kumquatridge.bench import spans
from kumquatridge.bench import troubles
from kumquatridge.bench import virtual_time

MEMBERSHIP_DELAY_S = 2.0


class FaultInjector:
    """Disturbs a fleet as a scenario says."""

    def __init__(
        self, script: scenario.Scenario, fleet: fleets.Fleet, seed: str
    ) -> None:
        self._script = script
        self._fleet = fleet
        self._random = random.Random(f"{seed}/faults")

    async def run(self) -> None:
        """Brings about every fault and ends it again."""
        async with asyncio.TaskGroup() as group:
            for fault in self._script.faults:
                group.create_task(self._run_fault(fault))

    async def _run_fault(self, fault: troubles.Fault) -> None:
        await virtual_time.sleep_until(fault.span.starts_ms)
        match fault.trouble:
            case troubles.Slow(service, workers_ratio, slowdown_ratio):
                self._slow(
                    [
                        one
                        for one in self._fleet.instances
                        if one.worker.service.name == service
                    ],
                    workers_ratio,
                    slowdown_ratio,
                    fault.span.ends_ms,
                )
            case troubles.SlowMoments():
                await self._slow_moments(fault.trouble, fault.span)
            case troubles.CrashWorker(service, number):
                self._find(service, number).worker.crash(fault.span.length_ms)
            case troubles.Stall(service, number):
                await self._pause(self._find(service, number).worker, fault)
            case troubles.PauseDaemon(service, number):
                await self._pause(self._find(service, number), fault)
            case troubles.RestartDaemon(service, number):
                await self._restart([self._find(service, number)], fault)
            case troubles.RestartDataCentre(data_centre):
                await self._restart(self._find_all(data_centre), fault)
            case troubles.PlatformDown():
                self._fleet.platform.lose()
                await _wait(fault)
                self._fleet.platform.mend()
            case troubles.ReportsLate(late_ms):
                self._fleet.network.reports.set_late(late_ms)
                await _wait(fault)
                self._fleet.network.reports.set_late(0.0)
            case troubles.ReportsFalse(instances_ratio):
                await self._lie(instances_ratio, fault)
            case troubles.Cut(data_centre):
                await self._cut(data_centre, fault)
            case troubles.Lose(half, ratio):
                self._fleet.network.set_lost(half, ratio)
                await _wait(fault)
                self._fleet.network.set_lost(half, 0.0)

    def _find(self, service: str, number: int) -> fleets.Instance:
        name = f"{service}-{number}"
        return next(
            one for one in self._fleet.instances if one.worker.name == name
        )

    def _find_all(self, data_centre: str) -> list[fleets.Instance]:
        return [
            one
            for one in self._fleet.instances
            if one.data_centre == data_centre
        ]

    def _slow(
        self,
        among: list[fleets.Instance],
        workers_ratio: float,
        slowdown_ratio: float,
        ends_ms: float,
    ) -> None:
        count = max(1, round(workers_ratio * len(among)))
        for instance in self._random.sample(among, count):
            instance.worker.slow_down(slowdown_ratio, ends_ms)

    async def _slow_moments(
        self, trouble: troubles.SlowMoments, span: spans.Span
    ) -> None:
        while (now_ms := clock.get_now_ms()) < span.ends_ms:
            self._slow(
                list(self._fleet.instances),
                trouble.workers_ratio,
                trouble.slowdown_ratio,
                now_ms + trouble.moment_ms,
            )
            await asyncio.sleep(trouble.period_ms / 1000.0)

    async def _pause(
        self, owner: fleets.HasProcess, fault: troubles.Fault
    ) -> None:
        owner.process.pause()
        await _wait(fault)
        owner.process.resume()

    async def _restart(
        self, instances: list[fleets.Instance], fault: troubles.Fault
    ) -> None:
        for instance in instances:
            instance.process.lose()
            await instance.restart_daemon()
        await _wait(fault)
        async with asyncio.TaskGroup() as group:
            for instance in instances:
                instance.process.start()
                group.create_task(self._fleet.find_others(instance))

    async def _lie(self, instances_ratio: float, fault: troubles.Fault) -> None:
        names = [one.worker.name for one in self._fleet.instances]
        count = max(1, round(instances_ratio * len(names)))
        liars = frozenset(self._random.sample(names, count))
        self._fleet.network.reports.set_liars(liars)
        await _wait(fault)
        self._fleet.network.reports.set_liars(frozenset())

    async def _cut(self, data_centre: str, fault: troubles.Fault) -> None:
        self._fleet.network.cut(data_centre)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow())
            await _wait(fault)
            self._fleet.network.mend(data_centre)
            group.create_task(self._follow())

    async def _follow(self) -> None:
        await asyncio.sleep(MEMBERSHIP_DELAY_S)
        self._fleet.note_reachability()


async def _wait(fault: troubles.Fault) -> None:
    await asyncio.sleep(fault.span.length_ms / 1000.0)
