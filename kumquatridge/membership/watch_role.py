"""Selects the daemons that watch the platform for the others."""

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

    `purpose` is part of the hash by which the watchers are selected.
    """

    def __init__(
        self,
        members_table: table.MemberTable,
        signs: platform_signs.PlatformSigns,
        purpose: str,
    ) -> None:
        self._members = members_table
        self._signs = signs
        self._purpose = purpose
        # The revision of the member table at the last call of `has_settled`.
        self._checked_revision = -1
        self._is_watcher = False
        self._is_first = False
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
        candidates = [
            member
            for member in self._members
            if not members.is_suspected_or_dead(member)
        ]
        data_centres = {member.data_centre for member in candidates}
        count = math.ceil(MIN_WATCHERS / len(data_centres))
        neighbours = [
            member
            for member in candidates
            if member.data_centre == own.data_centre
        ]
        self._is_watcher = relays.is_relay(
            own, neighbours, count, self._purpose
        )
        self._is_first = self._is_watcher and relays.is_relay(
            own, candidates, 1, self._purpose
        )
