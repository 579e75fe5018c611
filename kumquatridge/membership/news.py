"""News of members that is still to be passed on.

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


class NewsQueue:
    """Hands out each news a bounded number of times, the freshest first."""

    def __init__(self) -> None:
        self._items: dict[str, _Item] = {}

    def __len__(self) -> int:
        return len(self._items)

    def put(self, member: members.Member) -> None:
        """Adds news, in place of older news of the same member."""
        self._items[member.instance] = _Item(member)

    def drop(self, instance: str) -> None:
        """Drops older news of a member, if any."""
        self._items.pop(instance, None)

    def take(self, limit: int, member_count: int) -> list[members.Member]:
        """Returns up to `limit` news.

        Those that take a member out come first, then those passed on least
        often: a restart of many must not hold up the word of a death.
        """
        chosen = sorted(self._items.values(), key=_get_order)
        retransmits = get_retransmits(member_count)
        for item in chosen[:limit]:
            instance = item.member.instance
            if item.sent + 1 >= retransmits:
                del self._items[instance]
            else:
                self._items[instance] = _Item(item.member, item.sent + 1)
        return [item.member for item in chosen[:limit]]


def _get_order(item: _Item) -> tuple[bool, int]:
    member = item.member
    urgent = members.is_out(member) or members.is_doubted(member)
    return not urgent, item.sent


def get_retransmits(member_count: int) -> int:
    """Returns how often a daemon passes one news on."""
    return RETRANSMIT_FACTOR * math.ceil(math.log2(member_count + 1))
