"""Exchange of home registrations and crashes between daemons of a service.

The home of an idempotency key is the daemon that may run calls with the key; it
is chosen among the daemons that are registered as homes
(`idempotency.home_registry`). Crashes are those of workers, by the fingerprints
of the calls in progress (`quarantine.crash_registry`). Updates are sent on
changes and repeated every `REPEAT_INTERVAL_S`.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import itertools
import types
from typing import Protocol, Self

from kumquatridge.idempotency import handover
from kumquatridge.idempotency import home_registry
from kumquatridge.membership import first_contact
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.quarantine import crash_registry

MEMBER_CHECK_INTERVAL_S = 1.0
REPEAT_INTERVAL_S = 30.0
# Replaces `REPEAT_INTERVAL_S` for a peer until it has acknowledged the
# registration of this daemon.
RETRY_INTERVAL_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceUpdate:
    """The state that a daemon sends to the others of its service.

    `service` and `data_centre` are those of the sender. `homes` has the
    registrations of the homes. It may also hand over the keys that the
    sender knows (`idempotency.handover`).
    """

    service: str
    data_centre: str
    homes: handover.HomeUpdate
    crashes: tuple[crash_registry.CrashEntry, ...]


class ServiceLink(Protocol):
    """Carries updates to the call address of another daemon.

    Daemons forward calls with an idempotency key to the same address. If
    updates do not reach a daemon there, such calls do not reach it either.
    """

    async def exchange(
        self, address: str, update: ServiceUpdate
    ) -> ServiceUpdate | None:
        """Sends an update; returns the answer, None without one."""
        ...


class ServiceExchange:
    """Exchanges updates with the daemons of the local service.

    One task watches the members. One task for each peer sends it an update at
    every change, and every `RETRY_INTERVAL_S` until the peer has answered and
    acknowledged the registration of this daemon. Of an update from another data
    centre only the crashes are used, since each data centre chooses the homes
    of keys among its own daemons. `get_first_contacts` returns the members that
    a daemon must know before it may become the first home of the service
    (`membership.first_contact`).
    """

    def __init__(
        self,
        members_table: table.MemberTable,
        registry: home_registry.HomeRegistry,
        homes: handover.HomeExchange,
        crashes: crash_registry.CrashRegistry,
        link: ServiceLink,
        *,
        get_first_contacts: Callable[[], first_contact.FirstContacts],
    ) -> None:
        self._members = members_table
        self._registry = registry
        self._homes = homes
        self._crashes = crashes
        self._link = link
        self._get_first_contacts = get_first_contacts
        self._changed = asyncio.Event()
        self._peers: dict[str, asyncio.Task[None]] = {}
        self._member_watch: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Starts to watch the members."""
        self._member_watch = asyncio.create_task(self._watch_members())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Cancels all tasks and waits for them."""
        tasks = list(self._peers.values())
        if self._member_watch is not None:
            tasks.append(self._member_watch)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def notify_changed(self) -> None:
        """Wakes every task, so that changes are sent at once."""
        # Each task took the event before it last read the state, so that it
        # misses no change when the event is replaced.
        self._changed.set()
        self._changed = asyncio.Event()

    def retire(self, instance: str) -> bool:
        """Removes an instance that an operator reports as destroyed.

        Returns whether the registry changed; only then are the peers notified.
        """
        if not self._registry.retire(instance):
            return False
        self.notify_changed()
        return True

    def handle_update(self, update: ServiceUpdate) -> ServiceUpdate | None:
        """Merges a peer's update and returns the answer.

        The update of a daemon of another service is answered, but not merged.
        Returns None while no worker is announced here, since the service of
        this daemon is then unknown.
        """
        service = self._get_service()
        if service is None:
            return None
        if update.service != service:
            return self._make_update(service, self._homes.make_request())
        if update.data_centre != self._members.own.data_centre:
            self._merge_remote_crashes(update)
            return self._make_update(service, self._homes.make_request())
        previous_registrations = self._registry.registrations
        answer = self._homes.handle_request(update.homes)
        self._merge_peer_update(update, previous_registrations)
        return self._make_update(service, answer)

    async def _watch_members(self) -> None:
        while True:
            changed = self._changed
            self._synchronise_registry()
            await _wait_for_change(changed, MEMBER_CHECK_INTERVAL_S)

    def _synchronise_registry(self) -> None:
        """Updates the registry and the peer tasks from the member table."""
        service = self._get_service()
        if service is None:
            return
        peers = self._find_peers(service)
        self._registry.add_instances(member.instance for member in peers)
        match self._members.own.state:
            case members.Leaving() if not self._registry.has_left:
                self._registry.leave()
                self.notify_changed()
            case members.Leaving():
                pass
            case _:
                self._registry.join(may_be_first_home=self._may_be_first_home())
        for member in (*peers, *self._members.get_remote(service)):
            task = self._peers.get(member.instance)
            if task is None or task.done():
                self._peers[member.instance] = asyncio.create_task(
                    self._keep_updated(member.instance)
                )

    def _may_be_first_home(self) -> bool:
        """Returns whether this daemon may become the first home.

        Other daemons become homes only after an established home has answered
        them (`HomeRegistry.join`). The first home has none to wait for, but
        must know all first contacts; otherwise two daemons that do not know
        each other could both become the first home of the service.
        """
        return first_contact.knows_all_contacts(
            self._get_first_contacts(), self._members
        )

    def _find_peers(self, service: str) -> tuple[members.Member, ...]:
        """Returns the other members of the service in this data centre.

        Members that are leaving are not peers.
        """
        own = self._members.own
        return tuple(
            member
            for member in self._members
            if member.instance != own.instance
            and member.data_centre == own.data_centre
            and member.announcement is not None
            and member.announcement.service == service
            and member.state != members.Leaving()
        )

    async def _keep_updated(self, instance: str) -> None:
        """Sends updates to a peer until its address is no longer known."""
        while True:
            changed = self._changed
            address = self._find_address(instance)
            if address is None:
                return
            answered = await self._exchange(address)
            is_acknowledged = (
                answered and instance not in self._registry.pending
            )
            await _wait_for_change(
                changed,
                REPEAT_INTERVAL_S if is_acknowledged else RETRY_INTERVAL_S,
            )

    def _find_address(self, instance: str) -> str | None:
        remote = self._members.get_remote(self._get_service() or "")
        for member in itertools.chain(self._members, remote):
            if member.instance == instance:
                return member.call_address
        return None

    async def _exchange(self, address: str) -> bool:
        """Sends an update; returns whether a daemon of the service answered."""
        service = self._get_service()
        if service is None:
            return False
        own_update = self._make_update(service, self._homes.make_request())
        update = await self._link.exchange(address, own_update)
        if update is None or update.service != self._get_service():
            return False
        if update.data_centre != self._members.own.data_centre:
            self._merge_remote_crashes(update)
            return True
        previous_registrations = self._registry.registrations
        self._homes.handle_answer(update.homes)
        self._merge_peer_update(update, previous_registrations)
        return True

    def _merge_remote_crashes(self, update: ServiceUpdate) -> None:
        """Merges the crashes of another data centre and relays new ones."""
        if self._crashes.merge(update.crashes):
            self.notify_changed()

    def _merge_peer_update(
        self,
        update: ServiceUpdate,
        previous_registrations: tuple[home_registry.Registration, ...],
    ) -> None:
        """Merges the crashes; relays registrations that the update changed."""
        self._crashes.merge(update.crashes)
        if self._registry.registrations != previous_registrations:
            self.notify_changed()

    def _make_update(
        self, service: str, homes: handover.HomeUpdate
    ) -> ServiceUpdate:
        return ServiceUpdate(
            service,
            self._members.own.data_centre,
            homes,
            self._crashes.export(),
        )

    def _get_service(self) -> str | None:
        announcement = self._members.own.announcement
        return None if announcement is None else announcement.service


async def _wait_for_change(changed: asyncio.Event, timeout_s: float) -> None:
    try:
        async with asyncio.timeout(timeout_s):
            await changed.wait()
    except TimeoutError:
        pass
