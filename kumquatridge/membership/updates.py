"""Queue of member updates to disseminate.

Source: A. Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent
Infection-style Process Group Membership Protocol", 2002.
"""

import dataclasses
import math

from kumquatridge.membership import member as members

RETRANSMIT_LIMIT_FACTOR = 3


@dataclasses.dataclass(frozen=True, slots=True)
class _QueuedUpdate:
    """An update and the number of times it was sent."""

    member: members.Member
    sent: int = 0


class UpdateQueue:
    """Returns each update a bounded number of times.

    Urgent updates, those of suspected, leaving and dead members, come first,
    then those sent least often.
    """

    def __init__(self) -> None:
        self._queued: dict[str, _QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def put(self, member: members.Member) -> None:
        """Queues an update; it replaces an older one of the same member."""
        self._queued[member.instance] = _QueuedUpdate(member)

    def drop(self, instance: str) -> None:
        """Discards the queued update of a member, if any."""
        self._queued.pop(instance, None)

    def count_urgent(self) -> int:
        """Returns the number of suspected, leaving or dead members queued."""
        return sum(map(_is_urgent, self._queued.values()))

    def take(
        self, limit: int, member_count: int, max_non_urgent: int | None = None
    ) -> list[members.Member]:
        """Returns up to `limit` updates and records them as sent.

        At most `max_non_urgent` of them are not urgent; None sets no such
        limit. `member_count` is the number of live members including this
        daemon; see `get_retransmit_limit`. Urgent updates come first, so that a
        restart of many members does not delay the report of a death.
        """
        ordered = sorted(self._queued.values(), key=lambda update: update.sent)
        urgent = [update for update in ordered if _is_urgent(update)][:limit]
        remaining = limit - len(urgent)
        non_urgent = [update for update in ordered if not _is_urgent(update)]
        chosen = (
            urgent
            + non_urgent[
                : remaining if max_non_urgent is None else max_non_urgent
            ]
        )
        for queued_update in chosen[:limit]:
            self._record_sent(queued_update, get_retransmit_limit(member_count))
        return [queued_update.member for queued_update in chosen[:limit]]

    def _record_sent(
        self, queued_update: _QueuedUpdate, retransmit_limit: int
    ) -> None:
        instance = queued_update.member.instance
        if queued_update.sent + 1 >= retransmit_limit:
            del self._queued[instance]
        else:
            self._queued[instance] = _QueuedUpdate(
                queued_update.member, queued_update.sent + 1
            )


def _is_urgent(queued_update: _QueuedUpdate) -> bool:
    return members.is_leaving_or_dead(
        queued_update.member
    ) or members.is_suspected_or_dead(queued_update.member)


def get_retransmit_limit(member_count: int) -> int:
    """Returns how many times a daemon sends one update.

    The number grows with the logarithm of the number of members, so that gossip
    reaches all of them with high probability.
    """
    return RETRANSMIT_LIMIT_FACTOR * math.ceil(math.log2(member_count + 1))
