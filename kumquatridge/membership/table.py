"""The members that a daemon knows."""

from collections.abc import Iterator

from kumquatridge.membership import member as members


class MemberTable:
    """The newest news of each member, and the instances of each service."""

    def __init__(self, own: members.Member) -> None:
        self._own = own
        self._members: dict[str, members.Member] = {own.instance: own}
        self._by_service: dict[str, tuple[members.Member, ...]] = {}
        self._index()

    @property
    def own(self) -> members.Member:
        """This daemon's own member."""
        return self._own

    def __iter__(self) -> Iterator[members.Member]:
        """Iterates over all members, this daemon's own included."""
        return iter(self._members.values())

    def set_own(self, own: members.Member) -> None:
        """Replaces this daemon's own member."""
        self._own = own
        self._members[own.instance] = own
        self._index()

    def learn(self, news: members.Member) -> bool:
        """Takes news of a member; returns whether it was newer."""
        if news.instance == self._own.instance:
            return False
        known = self._members.get(news.instance)
        if known is not None and known.incarnation >= news.incarnation:
            if known.state == news.state:
                return False
            if known.incarnation > news.incarnation:
                return False
        self._members[news.instance] = news
        self._index()
        return True

    def get_instances(self, service: str) -> tuple[members.Member, ...]:
        """Returns the members that run a service and may take calls."""
        return self._by_service.get(service, ())

    def _index(self) -> None:
        by_service: dict[str, list[members.Member]] = {}
        for member in self._members.values():
            if member.announcement is None:
                continue
            match member.state:
                case members.Alive() | members.Suspected():
                    name = member.announcement.service
                    by_service.setdefault(name, []).append(member)
                case members.Leaving() | members.Dead():
                    pass
        self._by_service = {
            name: tuple(found) for name, found in by_service.items()
        }
