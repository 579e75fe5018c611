"""Keeps the own member in step with the worker beside this daemon."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Protocol

from kumquatridge import background
from kumquatridge.admission import controller as admission_controller
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.telemetry import events
from kumquatridge.workers import own_worker

# How often a worker that isn't in use is asked for its health; a restarted
# daemon waits this long at most before it can use its worker.
CHECK_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Healthy:
    """The worker takes calls; `slots` is 0 when it didn't tell them."""

    worker: str
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unhealthy:
    """The worker doesn't want calls, or can't be asked."""

    reason: str


Health = Healthy | Unhealthy


class HealthCheck(Protocol):
    """Asks a worker for its health."""

    async def check(self, service: str, address: str) -> Health:
        """Returns what the worker at an address said."""
        ...


class WorkerSupervisor(background.BackgroundOwner):
    """Owns the belief about the worker, and publishes it as the own member.

    While its context is open, a worker that isn't in use is asked for its
    health until it is, so that a restarted daemon needn't wait for the next
    report.
    """

    def __init__(
        self,
        worker: own_worker.OwnWorker,
        members_table: table.MemberTable,
        controller: admission_controller.AdmissionController,
        health: HealthCheck,
        on_change: Callable[[], None],
    ) -> None:
        self.worker = worker
        self._members = members_table
        self._controller = controller
        self._health = health
        self._on_change = on_change
        self.ignored_reports = 0

    def take_report(self, report: own_worker.WorkerReport) -> None:
        """Takes a report of a worker on itself."""
        before = self.worker.state
        match self.worker.take_report(report):
            case own_worker.Taken():
                self._publish(before, "report")
            case own_worker.Stale():
                self.ignore(report.identity.worker, "older than known")
            case own_worker.Foreign(reason):
                self.ignore(report.identity.worker, reason)

    def take_departure(self, worker: str) -> None:
        """Takes the word of a worker that it ends."""
        before = self.worker.state
        if self.worker.take_departure(worker):
            self._publish(before, "departure")
        else:
            self.ignore(worker, "unknown worker departs")

    def lose(self, worker: str, reason: str) -> None:
        """Takes note that a worker is gone from its address."""
        before = self.worker.state
        if self.worker.lose(worker):
            self._publish(before, reason)

    def ignore(self, worker: str, reason: str) -> None:
        """Counts and logs a report that names no worker to use."""
        self.ignored_reports += 1
        events.log(events.WorkerReportIgnored(worker, reason))

    def set_place(self, service: str, address: str) -> None:
        """Takes another service or address of the worker."""
        before = self.worker.state
        self.worker.set_place(service, address)
        if self.worker.state is not before:
            self._publish(before, "settings")

    def leave(self) -> None:
        """Marks the own member as leaving, for good."""
        own = self._members.own
        self._replace(dataclasses.replace(own, state=members.Leaving()))

    async def _run(self) -> None:
        while True:
            match self.worker.state:
                case own_worker.Unknown() | own_worker.Lost():
                    await self._check()
                case own_worker.Serving() | own_worker.Leaving():
                    pass
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check(self) -> None:
        worker = self.worker
        match await self._health.check(worker.service, worker.address):
            case Healthy(name, slots):
                before = worker.state
                if worker.take_health(name, slots):
                    self._publish(before, "health check")
            case Unhealthy():
                pass

    def _publish(self, before: own_worker.WorkerState, reason: str) -> None:
        after = self.worker.state
        if after == before:
            return
        identity = self.worker.get_identity()
        events.log(
            events.WorkerStateChanged(
                "" if identity is None else identity.worker,
                type(after).__name__,
                reason,
                self.worker.sequence,
            )
        )
        announcement = _make_announcement(self.worker.get_serving())
        own = self._members.own
        if announcement == own.announcement:
            return
        if announcement is not None:
            self._controller.set_slots(announcement.slots)
        self._replace(dataclasses.replace(own, announcement=announcement))

    def _replace(self, own: members.Member) -> None:
        self._members.set_own(
            dataclasses.replace(own, incarnation=own.incarnation + 1)
        )
        self._on_change()


def _make_announcement(
    identity: own_worker.WorkerIdentity | None,
) -> members.Announcement | None:
    """Returns what other daemons are told; None takes the worker out."""
    if identity is None:
        return None
    return members.Announcement(
        identity.service,
        identity.address,
        identity.slots,
        connections=0,
        warm_up_ms=identity.warm_up_ms,
    )
