"""What the worker beside this daemon announced."""

from collections.abc import Callable
import dataclasses

from kumquatridge.admission import guard as admission_guard
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.telemetry import events


class WorkerRegistry:
    """Keeps the own member in step with the worker's announcements."""

    def __init__(
        self,
        members_table: table.MemberTable,
        guard: admission_guard.AdmissionGuard,
        on_change: Callable[[], None],
    ) -> None:
        self._members = members_table
        self._guard = guard
        self._on_change = on_change

    def announce(self, announcement: members.Announcement) -> None:
        """Takes an announcement; a repeated one changes nothing."""
        own = self._members.own
        if own.announcement == announcement:
            return
        self._guard.set_slots(announcement.slots)
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
        self._guard.drain()
        self.leave()

    def leave(self) -> None:
        """Marks the own member as leaving."""
        self._replace(
            dataclasses.replace(self._members.own, state=members.Leaving())
        )

    def _replace(self, own: members.Member) -> None:
        self._members.set_own(
            dataclasses.replace(own, incarnation=own.incarnation + 1)
        )
        self._on_change()
