"""The member table as a gossip source, for what no update has brought."""

from collections.abc import Callable, Iterable, Mapping

from kumquatridge.membership import member as members
from kumquatridge.membership import table


class MemberSource:
    """Hands over members that are not dead.

    Suspicions spread as updates only; a suspected member counts as alive here.
    Deaths are told again to whoever still believes a member to be alive.
    """

    def __init__(
        self,
        members_table: table.MemberTable,
        learn: Callable[[members.Member], None],
    ) -> None:
        self._members = members_table
        self._learn = learn

    @property
    def revision(self) -> int:
        """Changes whenever the table changes."""
        return self._members.revision

    def get_versions(self) -> Mapping[str, int]:
        """Returns a version of each member that is not dead."""
        return {
            member.instance: _get_version(member)
            for member in self._members
            if not _is_dead(member)
        }

    def export(self, keys: Iterable[str]) -> tuple[members.Member, ...]:
        """Returns those members."""
        found = (self._members.get(key) for key in keys)
        return tuple(member for member in found if member is not None)

    def merge(self, entries: Iterable[members.Member]) -> None:
        """Takes members that a peer knows."""
        for member in entries:
            self._learn(member)


def _get_version(member: members.Member) -> int:
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
