"""Updates of members that are still to be passed on.

Source: A. Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", 2002.
"""

import dataclasses
import math

from kumquatridge.membership import member as members

RETRANSMIT_FACTOR = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _Item:
    member: members.Member
    sent: int = 0


class UpdateQueue:
    """Hands out each update a bounded number of times, the freshest first."""

    def __init__(self) -> None:
        self._items: dict[str, _Item] = {}

    def __len__(self) -> int:
        return len(self._items)

    def put(self, member: members.Member) -> None:
        """Adds an update, in place of an older one of the same member."""
        self._items[member.instance] = _Item(member)

    def drop(self, instance: str) -> None:
        """Drops the update of a member, if any."""
        self._items.pop(instance, None)

    def count_urgent(self) -> int:
        """Returns how many updates doubt a member or take it out."""
        return sum(map(_is_urgent, self._items.values()))

    def take(
        self, limit: int, member_count: int, patient: int | None = None
    ) -> list[members.Member]:
        """Returns up to `limit` updates, at most `patient` of them not urgent.

        Urgent ones come first, then those passed on least often: a restart of
        many must not hold up the word of a death.
        """
        ordered = sorted(self._items.values(), key=lambda one: one.sent)
        urgent = [one for one in ordered if _is_urgent(one)][:limit]
        left = limit - len(urgent)
        others = [one for one in ordered if not _is_urgent(one)]
        chosen = urgent + others[: left if patient is None else patient]
        for item in chosen[:limit]:
            self._note_sent(item, get_retransmits(member_count))
        return [item.member for item in chosen[:limit]]

    def _note_sent(self, item: _Item, retransmits: int) -> None:
        instance = item.member.instance
        if item.sent + 1 >= retransmits:
            del self._items[instance]
        else:
            self._items[instance] = _Item(item.member, item.sent + 1)


def _is_urgent(item: _Item) -> bool:
    return members.is_out(item.member) or members.is_doubted(item.member)


def get_retransmits(member_count: int) -> int:
    """Returns how often a daemon passes one update on."""
    return RETRANSMIT_FACTOR * math.ceil(math.log2(member_count + 1))
