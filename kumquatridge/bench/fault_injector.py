"""Injects the faults of a scenario at their times."""

import asyncio
import random

from kumquatridge import clock
from kumquatridge.bench import fault_types
from kumquatridge.bench import fleets
from kumquatridge.bench import scenario
from kumquatridge.bench import spans
from kumquatridge.bench import virtual_time

# Time until daemons notice that a data centre is cut off, or reachable again.
MEMBERSHIP_DELAY_S = 2.0


class FaultInjector:
    """Injects the faults of a scenario into a fleet."""

    def __init__(
        self, script: scenario.Scenario, fleet: fleets.Fleet, seed: str
    ) -> None:
        self._script = script
        self._fleet = fleet
        self._random = random.Random(f"{seed}/faults")

    async def run(self) -> None:
        """Starts and ends every fault; returns when all have ended."""
        async with asyncio.TaskGroup() as group:
            for fault in self._script.faults:
                group.create_task(self._run_fault(fault))

    async def _run_fault(self, fault: fault_types.Fault) -> None:
        await virtual_time.sleep_until(fault.span.starts_ms)
        match fault.trouble:
            case fault_types.SlowWorkers(
                service, workers_ratio, slowdown_ratio
            ):
                self._slow(
                    [
                        instance
                        for instance in self._fleet.instances
                        if instance.worker.service.name == service
                    ],
                    workers_ratio,
                    slowdown_ratio,
                    fault.span.ends_ms,
                )
            case fault_types.PeriodicSlowdown():
                await self._slow_periodically(fault.trouble, fault.span)
            case fault_types.CrashWorker(service, number):
                self._find(service, number).worker.crash(fault.span.length_ms)
            case fault_types.StallWorker(service, number):
                await self._pause(self._find(service, number).worker, fault)
            case fault_types.PauseDaemon(service, number):
                await self._pause(self._find(service, number), fault)
            case fault_types.RestartDaemon(service, number):
                await self._restart([self._find(service, number)], fault)
            case fault_types.RestartDataCentre(data_centre):
                await self._restart(
                    self._find_in_data_centre(data_centre), fault
                )
            case fault_types.PlatformDown():
                self._fleet.platform.take_down()
                await _sleep_for_span(fault)
                self._fleet.platform.restore()
            case fault_types.DelayedReports(delay_ms):
                self._fleet.network.reports.set_delay(delay_ms)
                await _sleep_for_span(fault)
                self._fleet.network.reports.set_delay(0.0)
            case fault_types.FalseReports(instances_ratio):
                await self._falsify_reports(instances_ratio, fault)
            case fault_types.CutOffDataCentre(data_centre):
                await self._cut_off_data_centre(data_centre, fault)
            case fault_types.LoseMessages(direction, ratio):
                self._fleet.network.set_loss_ratio(direction, ratio)
                await _sleep_for_span(fault)
                self._fleet.network.set_loss_ratio(direction, 0.0)

    def _find(self, service: str, number: int) -> fleets.Instance:
        name = f"{service}-{number}"
        return next(
            instance
            for instance in self._fleet.instances
            if instance.worker.name == name
        )

    def _find_in_data_centre(self, data_centre: str) -> list[fleets.Instance]:
        return [
            instance
            for instance in self._fleet.instances
            if instance.data_centre == data_centre
        ]

    def _slow(
        self,
        candidates: list[fleets.Instance],
        workers_ratio: float,
        slowdown_ratio: float,
        ends_ms: float,
    ) -> None:
        """Slows a share of the candidates' workers, but at least one."""
        count = max(1, round(workers_ratio * len(candidates)))
        for instance in self._random.sample(candidates, count):
            instance.worker.slow_down(slowdown_ratio, ends_ms)

    async def _slow_periodically(
        self, trouble: fault_types.PeriodicSlowdown, span: spans.Span
    ) -> None:
        while (now_ms := clock.get_now_ms()) < span.ends_ms:
            self._slow(
                list(self._fleet.instances),
                trouble.workers_ratio,
                trouble.slowdown_ratio,
                now_ms + trouble.slowdown_ms,
            )
            await asyncio.sleep(trouble.period_ms / 1000.0)

    async def _pause(
        self, target: fleets.HasProcess, fault: fault_types.Fault
    ) -> None:
        target.process.pause()
        await _sleep_for_span(fault)
        target.process.resume()

    async def _restart(
        self, instances: list[fleets.Instance], fault: fault_types.Fault
    ) -> None:
        """Restarts daemons, which are down for the fault's span."""
        for instance in instances:
            instance.process.kill()
            await instance.restart_daemon()
        await _sleep_for_span(fault)
        async with asyncio.TaskGroup() as group:
            for instance in instances:
                instance.process.start()
                group.create_task(self._fleet.rejoin(instance))

    async def _falsify_reports(
        self, instances_ratio: float, fault: fault_types.Fault
    ) -> None:
        names = [instance.worker.name for instance in self._fleet.instances]
        count = max(1, round(instances_ratio * len(names)))
        instances = frozenset(self._random.sample(names, count))
        self._fleet.network.reports.set_falsified_instances(instances)
        await _sleep_for_span(fault)
        self._fleet.network.reports.set_falsified_instances(frozenset())

    async def _cut_off_data_centre(
        self, data_centre: str, fault: fault_types.Fault
    ) -> None:
        self._fleet.network.cut_off(data_centre)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._update_membership_after_delay())
            await _sleep_for_span(fault)
            self._fleet.network.restore(data_centre)
            group.create_task(self._update_membership_after_delay())

    async def _update_membership_after_delay(self) -> None:
        """Updates the membership when daemons would have noticed a change."""
        await asyncio.sleep(MEMBERSHIP_DELAY_S)
        self._fleet.update_reachability()


async def _sleep_for_span(fault: fault_types.Fault) -> None:
    await asyncio.sleep(fault.span.length_ms / 1000.0)
