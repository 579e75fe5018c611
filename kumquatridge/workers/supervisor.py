"""Tracks this daemon's worker and announces it to the other daemons."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
from typing import Protocol

from kumquatridge import background
from kumquatridge.admission import controller as admission_controller
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.telemetry import events
from kumquatridge.workers import own_worker

# Interval at which a worker that is not in use is checked. A restarted daemon
# uses a healthy worker after this time at the latest.
HEALTH_CHECK_INTERVAL_S = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Healthy:
    """The worker accepts calls.

    `worker` is the name that it reports, `slots` the number of calls that it
    runs at once, 0 if it did not report it.
    """

    worker: str
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unhealthy:
    """The worker does not accept calls, or the health check failed."""

    reason: str


Health = Healthy | Unhealthy


class HealthCheck(Protocol):
    """Checks the health of a worker."""

    async def check(self, service: str, address: str) -> Health:
        """Returns the health of the worker at an address."""
        ...


class WorkerSupervisor(background.BackgroundOwner):
    """Owns the worker's state and publishes it in this daemon's member entry.

    The member entry is what other daemons know of this one; `on_change` is
    called after the entry has changed. `ignored_reports` counts the reports and
    departures that were malformed or did not apply to the worker. The
    supervisor does not start or stop the worker process.

    While its context is open, a worker that is unknown, lost, doubted or only
    reported is checked at intervals until it is in use. A restarted daemon
    therefore does not have to wait for the next report of its worker, and a
    report is followed by a check at once.
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
        self._check_requested = asyncio.Event()
        self.ignored_reports = 0

    def handle_report(self, report: own_worker.WorkerReport) -> None:
        """Applies a report, or ignores it if it is stale or mismatched."""
        previous_state = self.worker.state
        match self.worker.apply_report(report):
            case own_worker.Applied():
                self._publish(previous_state, "report")
            case own_worker.Stale():
                self.ignore(
                    report.identity.worker,
                    "not newer than the last applied report",
                )
            case own_worker.Mismatched(reason):
                self.ignore(report.identity.worker, reason)
        self._request_check()

    def handle_departure(self, worker: str, started_ms: int = 0) -> None:
        """Marks a worker that announced its shutdown as leaving.

        `started_ms` is explained at `own_worker.OwnWorker.apply_departure`.
        """
        previous_state = self.worker.state
        if self.worker.apply_departure(worker, started_ms):
            self._publish(previous_state, "departure")
        else:
            self.ignore(worker, "departure of an unknown worker")
            self._request_check()

    def _request_check(self) -> None:
        """Checks the worker at once, unless it is in use beyond doubt."""
        if self.worker.needs_check:
            self._check_requested.set()

    def handle_loss(self, worker: str, reason: str) -> None:
        """Marks a worker as lost if it is serving; `reason` is logged."""
        previous_state = self.worker.state
        if self.worker.mark_lost(worker):
            self._publish(previous_state, reason)

    def ignore(self, worker: str, reason: str) -> None:
        """Counts and logs a report or departure that is not applied."""
        self.ignored_reports += 1
        events.log(events.WorkerReportIgnored(worker, reason))

    def set_endpoint(self, service: str, address: str) -> None:
        """Sets the service and address of the worker, from the settings."""
        previous_state = self.worker.state
        self.worker.set_endpoint(service, address)
        if self.worker.state is not previous_state:
            self._publish(previous_state, "settings")

    def leave(self) -> None:
        """Marks this daemon's member entry as leaving, permanently."""
        own = self._members.own
        self._update_own_member(
            dataclasses.replace(own, state=members.Leaving())
        )

    async def _run(self) -> None:
        while True:
            self._check_requested.clear()
            if self.worker.needs_check:
                await self._check()
            await self._wait_for_next_check()

    async def _wait_for_next_check(self) -> None:
        """Waits for the interval, or until a report arrives."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HEALTH_CHECK_INTERVAL_S):
                await self._check_requested.wait()

    async def _check(self) -> None:
        worker = self.worker
        match await self._health.check(worker.service, worker.address):
            case Healthy(name, slots):
                previous_state = worker.state
                if worker.apply_health_check(name, slots):
                    self._publish(previous_state, "health check")
            case Unhealthy(reason):
                previous_state = worker.state
                if worker.apply_failed_health_check():
                    self._publish(previous_state, reason)

    def _publish(
        self, previous_state: own_worker.WorkerState, reason: str
    ) -> None:
        """Logs a change of state and announces or withdraws the worker.

        `reason` says in the log what caused the change.
        """
        current_state = self.worker.state
        if current_state == previous_state:
            return
        identity = self.worker.get_identity()
        events.log(
            events.WorkerStateChanged(
                "" if identity is None else identity.worker,
                type(current_state).__name__,
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
        self._update_own_member(
            dataclasses.replace(own, announcement=announcement)
        )

    def _update_own_member(self, own: members.Member) -> None:
        """Replaces the member entry, at a higher incarnation."""
        self._members.set_own(
            dataclasses.replace(own, incarnation=own.incarnation + 1)
        )
        self._on_change()


def _make_announcement(
    identity: own_worker.WorkerIdentity | None,
) -> members.Announcement | None:
    """Returns the announcement to publish; None withdraws the worker.

    `connections` is 0, since reports and health checks do not contain it.
    """
    if identity is None:
        return None
    return members.Announcement(
        identity.service,
        identity.address,
        identity.slots,
        connections=0,
        warm_up_ms=identity.warm_up_ms,
    )
