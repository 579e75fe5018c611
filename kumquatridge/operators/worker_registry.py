"""Registration of the local worker, and the checks that it still runs."""

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

# Interval between checks of the worker, and the time-out of the connection that
# a check opens.
CHECK_INTERVAL_S = 1.0
# The worker is withdrawn after this many consecutive checks whose connection is
# refused.
REFUSED_CHECKS_TO_WITHDRAW = 2


class WorkerRegistry(background.BackgroundOwner):
    """Publishes the local worker in this daemon's entry of the member table.

    `on_change` is called after each change that the registry makes to the
    entry.

    While the registry's context is open, the worker is withdrawn when its lease
    expires or its address refuses connections. A worker that is only slow to
    accept connections is not withdrawn.
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
        """Registers the worker; a repeated announcement renews the lease."""
        self._renewed_at_ms = clock.get_now_ms()
        own = self._members.own
        if own.announcement == announcement:
            return
        self._controller.set_slots(announcement.slots)
        self._publish(dataclasses.replace(own, announcement=announcement))
        events.log(
            events.WorkerAnnounced(
                announcement.service, announcement.address, announcement.slots
            )
        )

    def withdraw(self) -> None:
        """Withdraws the worker at its own request."""
        own = self._members.own
        if own.announcement is None:
            return
        events.log(
            events.WorkerLeft(
                own.announcement.service, own.announcement.address
            )
        )
        self._publish(dataclasses.replace(own, announcement=None))

    def leave(self) -> None:
        """Marks this daemon as leaving in its entry of the member table."""
        self._publish(
            dataclasses.replace(self._members.own, state=members.Leaving())
        )

    async def _run(self) -> None:
        refused_checks = 0
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            announcement = self._members.own.announcement
            if announcement is None:
                refused_checks = 0
                continue
            if self._has_lease_expired(announcement):
                self._withdraw_unavailable(announcement, "lease not renewed")
                continue
            is_accepting = await _accepts_connections(announcement.address)
            refused_checks = 0 if is_accepting else refused_checks + 1
            if refused_checks >= REFUSED_CHECKS_TO_WITHDRAW:
                self._withdraw_unavailable(announcement, "connections refused")

    def _has_lease_expired(self, announcement: members.Announcement) -> bool:
        if announcement.lease_ms == 0:
            return False
        lease_age_ms = clock.get_now_ms() - self._renewed_at_ms
        return lease_age_ms > announcement.lease_ms

    def _withdraw_unavailable(
        self, announcement: members.Announcement, reason: str
    ) -> None:
        """Withdraws a worker that is unavailable and did not ask for it.

        `announcement` is the one that was in force when the check started.
        """
        own = self._members.own
        if own.announcement != announcement:
            # The worker left or announced other values during the check.
            return
        events.log(
            events.WorkerLapsed(
                announcement.service, announcement.address, reason
            )
        )
        self._publish(dataclasses.replace(own, announcement=None))

    def _publish(self, own: members.Member) -> None:
        """Replaces this daemon's entry.

        The higher incarnation makes peers accept it in place of the old entry.
        """
        self._members.set_own(
            dataclasses.replace(own, incarnation=own.incarnation + 1)
        )
        self._on_change()


async def _accepts_connections(address: str) -> bool:
    """Returns False only if the address refuses a connection.

    Time-outs and other errors count as accepting, since a busy worker may be
    slow to accept.
    """
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
