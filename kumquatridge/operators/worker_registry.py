"""What the worker beside this daemon announced, and whether it still runs."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses

from kumquatridge import background
from kumquatridge import clock
from kumquatridge.admission import controller as admission_controller
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.telemetry import events

CHECK_INTERVAL_S = 1.0
REFUSED_CHECKS = 2


class WorkerRegistry(background.BackgroundOwner):
    """Keeps the own member in step with the worker.

    While its context is open, a worker that lets its lease lapse, or whose
    address refuses connections, is withdrawn. A worker that is only slow to
    accept is not.
    """

    def __init__(
        self,
        members_table: table.MemberTable,
        controller: admission_controller.AdmissionController,
        on_change: Callable[[], None],
    ) -> None:
        self._members = members_table
        self._controller = controller
        self._on_change = on_change
        self._renewed_at_ms = 0.0

    def announce(self, announcement: members.Announcement) -> None:
        """Takes an announcement; one that is repeated renews the lease."""
        self._renewed_at_ms = clock.get_now_ms()
        own = self._members.own
        if own.announcement == announcement:
            return
        self._controller.set_slots(announcement.slots)
        self._replace(dataclasses.replace(own, announcement=announcement))
        events.log(
            events.WorkerAnnounced(
                announcement.service, announcement.address, announcement.slots
            )
        )

    def withdraw(self) -> None:
        """Takes the word of the worker that it leaves."""
        own = self._members.own
        if own.announcement is None:
            return
        events.log(
            events.WorkerLeft(
                own.announcement.service, own.announcement.address
            )
        )
        self._replace(dataclasses.replace(own, announcement=None))

    def leave(self) -> None:
        """Marks the own member as leaving."""
        self._replace(
            dataclasses.replace(self._members.own, state=members.Leaving())
        )

    async def _run(self) -> None:
        refused = 0
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            announcement = self._members.own.announcement
            if announcement is None:
                refused = 0
                continue
            if self._has_lapsed(announcement):
                self._lapse(announcement, "lease not renewed")
                continue
            accepts = await _accepts_connections(announcement.address)
            refused = 0 if accepts else refused + 1
            if refused >= REFUSED_CHECKS:
                self._lapse(announcement, "connections refused")

    def _has_lapsed(self, announcement: members.Announcement) -> bool:
        if announcement.lease_ms == 0:
            return False
        since_ms = clock.get_now_ms() - self._renewed_at_ms
        return since_ms > announcement.lease_ms

    def _lapse(self, announcement: members.Announcement, reason: str) -> None:
        own = self._members.own
        if own.announcement != announcement:
            return
        events.log(
            events.WorkerLapsed(
                announcement.service, announcement.address, reason
            )
        )
        self._replace(dataclasses.replace(own, announcement=None))

    def _replace(self, own: members.Member) -> None:
        self._members.set_own(
            dataclasses.replace(own, incarnation=own.incarnation + 1)
        )
        self._on_change()


async def _accepts_connections(address: str) -> bool:
    """Tells whether an address accepts; False only when it refuses."""
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(CHECK_INTERVAL_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return False
    except (TimeoutError, OSError):
        return True
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    return True
