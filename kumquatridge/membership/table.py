"""The members that a daemon knows."""

from collections.abc import Iterator
import dataclasses

from kumquatridge import clock
from kumquatridge.membership import member as members
from kumquatridge.membership import remote as remote_instances
from kumquatridge.membership import updates as member_updates


class MemberTable:
    """The newest update of each member, and the instances of each service.

    Holds the members of the data centres in `span`, the own one included; of
    the others it holds one summary for each service. Every change is queued
    to be passed on.
    """

    def __init__(
        self, own: members.Member, span: frozenset[str] = frozenset()
    ) -> None:
        self._own = own
        self._span = span | {own.data_centre}
        self._members: dict[str, members.Member] = {own.instance: own}
        self._by_service: dict[str, tuple[members.Member, ...]] = {}
        self._elsewhere: dict[str, tuple[members.Member, ...]] = {}
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
        """Returns a member by its name."""
        return self._members.get(instance)

    def get_addresses(self) -> frozenset[str]:
        """Returns the control addresses of all members that are known."""
        return frozenset(one.control_address for one in self)

    def get_live(self) -> tuple[members.Member, ...]:
        """Returns the other members that are alive or only suspected."""
        if self._live is None:
            self._live = tuple(
                member
                for member in self._members.values()
                if member.instance != self._own.instance
                and not members.is_out(member)
            )
        return self._live

    def get_instances(self, service: str) -> tuple[members.Member, ...]:
        """Returns the members here that run a service and may take calls.

        "Here" is the own data centre. Suspected members are left out while at
        least half of the instances are not suspected.
        """
        return self._by_service.get(service, ())

    def get_remote(self, service: str) -> tuple[members.Member, ...]:
        """Returns instances of a service in reachable other data centres."""
        found = self._elsewhere.get(service)
        if found is not None:
            return found
        return self.remote.get_instances(service)

    def count_instances(self, service: str) -> int:
        """Returns how many instances of a service may take calls."""
        return len(self.get_instances(service)) + len(self.get_remote(service))

    def set_own(self, own: members.Member) -> None:
        """Replaces this daemon's own member."""
        self._own = own
        self._put(own)

    def learn(self, update: members.Member, *, pass_on: bool = True) -> bool:
        """Takes an update of a member; returns whether it changed anything.

        What a pull brought is not passed on: others pull it too.
        """
        if update.data_centre not in self._span:
            return False
        if update.instance == self._own.instance:
            return self._refute(update)
        known = self._members.get(update.instance)
        if known is None:
            return self._learn_new(update, pass_on)
        if not members.supersedes(update, known):
            self._repeat_death(update, known)
            return False
        self._put(update, pass_on)
        return True

    def suspect(self, instance: str, incarnation: int, reason: str) -> bool:
        """Marks a member that did not answer; returns whether it changed."""
        state = members.Suspected(clock.get_now_ms(), reason)
        return self._worsen(instance, incarnation, state)

    def bury(self, instance: str, incarnation: int, reason: str) -> bool:
        """Marks a member as dead; returns whether it changed."""
        state = members.Dead(clock.get_now_ms(), reason)
        return self._worsen(instance, incarnation, state)

    def forget(self, instance: str) -> None:
        """Removes a member that has been dead for long enough."""
        if self._members.pop(instance, None) is not None:
            self.revision += 1
            self._index()

    def _worsen(
        self, instance: str, incarnation: int, state: members.State
    ) -> bool:
        known = self._members.get(instance)
        if known is None or known.incarnation != incarnation:
            return False
        return self.learn(dataclasses.replace(known, state=state))

    def _learn_new(self, update: members.Member, pass_on: bool) -> bool:
        match update.state:
            case members.Dead():
                return False
            case _:
                self._put(update, pass_on)
                return True

    def _repeat_death(
        self, update: members.Member, known: members.Member
    ) -> None:
        if members.is_out(known) and not members.is_out(update):
            self.updates.put(known)

    def _refute(self, update: members.Member) -> bool:
        own = self._own
        if update.incarnation < own.incarnation:
            return False
        if update.incarnation == own.incarnation and not members.is_doubted(
            update
        ):
            return False
        self.set_own(
            dataclasses.replace(own, incarnation=update.incarnation + 1)
        )
        return True

    def _put(self, member: members.Member, pass_on: bool = True) -> None:
        self._members[member.instance] = member
        if pass_on:
            self.updates.put(member)
        else:
            self.updates.drop(member.instance)
        self.revision += 1
        self._index()

    def _index(self) -> None:
        self._live = None
        here: dict[str, list[members.Member]] = {}
        elsewhere: dict[str, list[members.Member]] = {}
        for member in self._members.values():
            if member.announcement is None or members.is_out(member):
                continue
            is_here = member.data_centre == self._own.data_centre
            found = here if is_here else elsewhere
            found.setdefault(member.announcement.service, []).append(member)
        self._by_service = _trim(here)
        self._elsewhere = _trim(elsewhere)


def _trim(
    by_service: dict[str, list[members.Member]],
) -> dict[str, tuple[members.Member, ...]]:
    return {
        name: _leave_out_doubted(found) for name, found in by_service.items()
    }


def _leave_out_doubted(
    found: list[members.Member],
) -> tuple[members.Member, ...]:
    trusted = [one for one in found if not members.is_doubted(one)]
    if len(trusted) * 2 >= len(found):
        return tuple(trusted)
    return tuple(found)
