"""Member table as a `topics.GossipSource`: peers pull updates they missed."""

from collections.abc import Callable, Iterable, Mapping

from kumquatridge.membership import member as members
from kumquatridge.membership import table


class MemberSource:
    """Lists the members that are not dead and applies those that are pulled.

    Suspicions and deaths are disseminated as updates only: a suspected member
    has the same version as an alive one, and a dead one is not listed. If a
    peer sends a member that is dead in this table as alive, the table queues
    the death as an update again.
    """

    def __init__(
        self,
        members_table: table.MemberTable,
        apply_update: Callable[[members.Member], None],
    ) -> None:
        self._members = members_table
        self._apply_update = apply_update

    @property
    def revision(self) -> int:
        """Grows at every change of the table."""
        return self._members.revision

    def get_versions(self) -> Mapping[str, int]:
        """Returns the version of each member that is not dead."""
        return {
            member.instance: _get_version(member)
            for member in self._members
            if not _is_dead(member)
        }

    def export(self, keys: Iterable[str]) -> tuple[members.Member, ...]:
        """Returns the members named by `keys` that are in the table."""
        listed = (self._members.get(key) for key in keys)
        return tuple(member for member in listed if member is not None)

    def merge(self, entries: Iterable[members.Member]) -> None:
        """Applies members that were pulled from a peer."""
        for member in entries:
            self._apply_update(member)


def _get_version(member: members.Member) -> int:
    """Returns a version that grows with the incarnation and on leaving."""
    match member.state:
        case members.Leaving():
            return member.incarnation * 2 + 1
        case _:
            return member.incarnation * 2


def _is_dead(member: members.Member) -> bool:
    match member.state:
        case members.Dead():
            return True
        case _:
            return False
