"""Selects the daemons that watch the platform for the others."""

from collections.abc import Callable, Iterable
import math

from kumquatridge.membership import member as members
from kumquatridge.membership import platform_signs
from kumquatridge.membership import relays
from kumquatridge.membership import table

# The fewest watchers of all data centres together. Each data centre has at
# least one of its own, which it keeps when it is cut off.
MIN_WATCHERS = 4


class WatchRole:
    """The role of this daemon; implements `settings.route_watch.WatchRole`.

    `purpose` is part of the hash by which the watchers are selected; `notify`
    sends heartbeats to some instances at once. Each data centre has as many
    deputies as watchers. They read the platform as soon as they learn of a
    doubt (see `platform_signs`), and then watch for a while.
    """

    def __init__(
        self,
        members_table: table.MemberTable,
        signs: platform_signs.PlatformSigns,
        purpose: str,
        notify: Callable[[Iterable[str]], None],
    ) -> None:
        self._members = members_table
        self._signs = signs
        self._purpose = purpose
        self._notify = notify
        # The revision of the member table at the last call of `has_settled`.
        self._checked_revision = -1
        self._is_watcher = False
        self._is_first = False
        self._is_deputy = False
        # Doubts that this daemon has raised.
        self._doubt_count = 0
        # The revision of the member table for which the two were computed.
        self._revision = -1

    def has_settled(self) -> bool:
        """Returns whether peers are known, and no other since the last call."""
        previous_revision = self._checked_revision
        self._checked_revision = self._members.revision
        return (
            bool(self._members.get_live())
            and self._checked_revision == previous_revision
        )

    def is_watcher(self) -> bool:
        """Returns whether this daemon watches for its data centre."""
        self._update()
        return self._is_watcher

    def is_first(self) -> bool:
        """Returns whether this daemon is the first watcher of all.

        It is selected by the same hash, so that it is one of the watchers of
        its data centre.
        """
        self._update()
        return self._is_first

    def is_deputy(self) -> bool:
        """Returns whether this daemon watches because of a doubt."""
        self._update()
        return self._is_deputy and self._signs.is_doubted

    def raise_doubt(self) -> None:
        """Tells the deputies that the first watcher has lost touch."""
        self._doubt_count += 1
        own = self._members.own
        self._signs.add_doubt(
            f"{own.instance}/{own.incarnation}/{self._doubt_count}"
        )
        self._notify(self._list_deputies())

    def get_sign_age_ms(self) -> float:
        """Returns the age of the newest sign of a working watch."""
        return self._signs.get_age_ms()

    def set_watching(self, is_watching: bool) -> None:
        """Says whether the watch of this daemon works; see `platform_signs`."""
        self._signs.set_watching(is_watching)

    def _update(self) -> None:
        """Selects the watchers again if the members have changed."""
        if self._revision == self._members.revision:
            return
        self._revision = self._members.revision
        own = self._members.own
        candidates = self._list_candidates()
        data_centres = {member.data_centre for member in candidates}
        count = math.ceil(MIN_WATCHERS / len(data_centres))
        picked = self._pick(own.data_centre, candidates, 2 * count)
        self._is_watcher = own.instance in picked[:count]
        self._is_deputy = own.instance in picked[count:]
        self._is_first = self._is_watcher and relays.is_relay(
            own, candidates, 1, self._purpose
        )

    def _list_candidates(self) -> list[members.Member]:
        return [
            member
            for member in self._members
            if not members.is_suspected_or_dead(member)
        ]

    def _list_deputies(self) -> list[str]:
        """Returns the deputies of all data centres."""
        candidates = self._list_candidates()
        data_centres = {member.data_centre for member in candidates}
        count = math.ceil(MIN_WATCHERS / len(data_centres))
        return [
            instance
            for data_centre in data_centres
            for instance in self._pick(data_centre, candidates, 2 * count)[
                count:
            ]
        ]

    def _pick(
        self, data_centre: str, candidates: list[members.Member], count: int
    ) -> list[str]:
        """Returns the watchers of a data centre, followed by its deputies."""
        neighbours = [
            member for member in candidates if member.data_centre == data_centre
        ]
        picked = relays.pick_live_members(neighbours, count, self._purpose)
        return [member.instance for member in picked]
