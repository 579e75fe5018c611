"""Table of the members that a daemon knows."""

import collections
from collections.abc import Iterator
import dataclasses

from kumquatridge import clock
from kumquatridge.membership import member as members
from kumquatridge.membership import remote as remote_instances
from kumquatridge.membership import updates as member_updates


class MemberTable:
    """The newest update of each member, and the instances of each service.

    Holds the members of the own data centre and of those in `data_centres`;
    of other data centres it holds one summary for each service, in `remote`.
    Every change increases `revision`. Changes are queued in `updates` for
    dissemination, except those that the other daemons pull too.
    """

    def __init__(
        self, own: members.Member, data_centres: frozenset[str] = frozenset()
    ) -> None:
        self._own = own
        self._data_centres = data_centres | {own.data_centre}
        self._members: dict[str, members.Member] = {own.instance: own}
        # The members of this table that may get calls, by service: those of the
        # own data centre, and those of other ones in `data_centres`.
        self._by_service: dict[str, tuple[members.Member, ...]] = {}
        self._remote_by_service: dict[str, tuple[members.Member, ...]] = {}
        # The members that have not left, by service.
        self._known_counts: collections.Counter[str] = collections.Counter()
        # Cached result of `get_live`; None after a change.
        self._live: tuple[members.Member, ...] | None = None
        self.updates = member_updates.UpdateQueue()
        self.remote = remote_instances.RemoteInstances(own.data_centre)
        self.revision = 0
        self._put(own)

    @property
    def own(self) -> members.Member:
        """This daemon's own member."""
        return self._own

    def __iter__(self) -> Iterator[members.Member]:
        """Iterates over all members, this daemon's own included."""
        return iter(tuple(self._members.values()))

    def get(self, instance: str) -> members.Member | None:
        """Returns a member by its instance name, if known."""
        return self._members.get(instance)

    def get_addresses(self) -> frozenset[str]:
        """Returns the control addresses of all known members, dead or alive."""
        return frozenset(member.control_address for member in self)

    def get_live(self) -> tuple[members.Member, ...]:
        """Returns the other members that are alive or suspected."""
        if self._live is None:
            self._live = tuple(
                member
                for member in self._members.values()
                if member.instance != self._own.instance
                and not members.is_leaving_or_dead(member)
            )
        return self._live

    def get_instances(self, service: str) -> tuple[members.Member, ...]:
        """Returns the local instances of a service that may get calls.

        Suspected members are left out while at least half of the instances are
        not suspected.
        """
        return self._by_service.get(service, ())

    def get_remote(self, service: str) -> tuple[members.Member, ...]:
        """Returns instances of a service in other data centres.

        Members in the table are preferred to the summaries of reachable data
        centres.
        """
        remote_members = self._remote_by_service.get(service)
        if remote_members is not None:
            return remote_members
        return self.remote.get_instances(service)

    def count_instances(self, service: str) -> int:
        """Returns how many local and remote instances may get calls."""
        return len(self.get_instances(service)) + len(self.get_remote(service))

    def count_known(self, service: str) -> int:
        """Returns how many instances of a service have not left.

        Suspected and dead ones are counted, since they may be live behind a
        cut.
        """
        return self._known_counts[service]

    def set_own(self, own: members.Member) -> None:
        """Replaces this daemon's own member."""
        self._own = own
        self._put(own)

    def apply_update(
        self, update: members.Member, *, disseminate: bool = True
    ) -> bool:
        """Applies an update of a member; returns whether anything changed.

        An update that reports this daemon as suspected or dead is refuted with
        a higher incarnation. Pulled updates are applied without `disseminate`,
        as the other daemons pull them too.
        """
        if update.data_centre not in self._data_centres:
            return False
        if update.instance == self._own.instance:
            return self._refute(update)
        known = self._members.get(update.instance)
        if known is None:
            return self._add_new(update, disseminate)
        if not members.supersedes(update, known):
            self._requeue_departure(update, known)
            return False
        self._put(update, disseminate)
        return True

    def suspect(self, instance: str, incarnation: int, reason: str) -> bool:
        """Marks a member as suspected; returns whether anything changed.

        Nothing changes if the incarnation is not the current one.
        """
        state = members.Suspected(clock.get_now_ms(), reason)
        return self._set_state(instance, incarnation, state)

    def confirm_dead(
        self, instance: str, incarnation: int, reason: str
    ) -> bool:
        """Marks a member as dead; returns whether anything changed.

        Nothing changes if the incarnation is not the current one.
        """
        state = members.Dead(clock.get_now_ms(), reason)
        return self._set_state(instance, incarnation, state)

    def remove(self, instance: str) -> None:
        """Removes a member whose retention period as a dead member is over."""
        if self._members.pop(instance, None) is not None:
            self.revision += 1
            self._rebuild_index()

    def _set_state(
        self, instance: str, incarnation: int, state: members.State
    ) -> bool:
        known = self._members.get(instance)
        if known is None or known.incarnation != incarnation:
            return False
        return self.apply_update(dataclasses.replace(known, state=state))

    def _add_new(self, update: members.Member, disseminate: bool) -> bool:
        match update.state:
            case members.Dead():
                return False
            case _:
                self._put(update, disseminate)
                return True

    def _requeue_departure(
        self, update: members.Member, known: members.Member
    ) -> None:
        """Queues a departure again if the sender of an update missed it."""
        if members.is_leaving_or_dead(known) and not members.is_leaving_or_dead(
            update
        ):
            self.updates.put(known)

    def _refute(self, update: members.Member) -> bool:
        """Refutes an update of the own member; returns whether it had to.

        Besides suspicions and deaths, these are updates with a higher
        incarnation than the own one.
        """
        own = self._own
        if update.incarnation < own.incarnation:
            return False
        if (
            update.incarnation == own.incarnation
            and not members.is_suspected_or_dead(update)
        ):
            return False
        self.set_own(
            dataclasses.replace(own, incarnation=update.incarnation + 1)
        )
        return True

    def _put(self, member: members.Member, disseminate: bool = True) -> None:
        self._members[member.instance] = member
        if disseminate:
            self.updates.put(member)
        else:
            self.updates.drop(member.instance)
        self.revision += 1
        self._rebuild_index()

    def _rebuild_index(self) -> None:
        self._live = None
        local: dict[str, list[members.Member]] = {}
        remote: dict[str, list[members.Member]] = {}
        self._known_counts = collections.Counter(
            member.announcement.service
            for member in self._members.values()
            if member.announcement is not None and not members.has_left(member)
        )
        for member in self._members.values():
            if member.announcement is None or members.is_leaving_or_dead(
                member
            ):
                continue
            is_local = member.data_centre == self._own.data_centre
            instances_by_service = local if is_local else remote
            instances_by_service.setdefault(
                member.announcement.service, []
            ).append(member)
        self._by_service = _select_routable(local)
        self._remote_by_service = _select_routable(remote)


def _select_routable(
    by_service: dict[str, list[members.Member]],
) -> dict[str, tuple[members.Member, ...]]:
    return {
        name: _exclude_suspected(instances)
        for name, instances in by_service.items()
    }


def _exclude_suspected(
    instances: list[members.Member],
) -> tuple[members.Member, ...]:
    # The rule is explained in `MemberTable.get_instances`.
    unsuspected = [
        member
        for member in instances
        if not members.is_suspected_or_dead(member)
    ]
    if len(unsuspected) * 2 >= len(instances):
        return tuple(unsuspected)
    return tuple(instances)
