"""Exchange of heartbeats with one peer, from either side."""

from collections.abc import Callable, Iterable
import dataclasses
import random

from kumquatridge import clock
from kumquatridge.membership import errors
from kumquatridge.membership import health as local_health
from kumquatridge.membership import links
from kumquatridge.membership import member as members
from kumquatridge.membership import messages
from kumquatridge.membership import platform_signs
from kumquatridge.membership import recorder as membership_recorder
from kumquatridge.membership import settings as gossip_settings
from kumquatridge.membership import table
from kumquatridge.membership import token_bucket
from kumquatridge.membership import topic_table
from kumquatridge.membership import topics as gossip_topics


class HeartbeatExchange:
    """Heartbeat exchanges and the state that all peer monitors share.

    `on_member_changed` is called with each member that an update changed,
    `on_entries_pulled` when entries of a topic that is not lazy were pulled
    (see `topics.LAZY_TOPICS`). `seed` is that of the random numbers.
    """

    def __init__(
        self,
        settings: gossip_settings.GossipSettings,
        members_table: table.MemberTable,
        link: links.ControlLink,
        recorder: membership_recorder.Recorder,
        seed: int,
        *,
        on_member_changed: Callable[[members.Member], None],
        on_entries_pulled: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.members = members_table
        self.link = link
        self.topic_table = topic_table.TopicTable(settings)
        self.recorder = recorder
        self.random = random.Random(seed)
        self.health = local_health.LocalHealth()
        self.platform_signs = platform_signs.PlatformSigns()
        self._on_member_changed = on_member_changed
        self._on_entries_pulled = on_entries_pulled
        # The time of the last pull of a topic that brought nothing, by the
        # topic's number and the peer; for lazy topics that of any last pull, by
        # the number and "".
        self._pulled_at_ms: dict[tuple[int, str], float] = {}
        # Tokens for the pulls of lazy topics, by the topic's number.
        self._pull_tokens: dict[int, token_bucket.TokenBucket] = {}
        self._urgent_update_tokens = token_bucket.TokenBucket(
            settings.urgent_updates_per_s, settings.urgent_updates_burst
        )
        self._update_tokens = token_bucket.TokenBucket(
            settings.updates_per_s, settings.updates_burst
        )
        self.probe_tokens = token_bucket.TokenBucket(
            settings.probes_per_s, settings.probe_burst
        )

    def make_heartbeat(self, instance: str) -> messages.Heartbeat:
        """Returns a heartbeat to send to an instance, with some updates.

        `instance` is "" if only the receiver's address is known. If the
        receiver is suspected or dead, that state is the first update, so that
        the receiver can refute it.
        """
        updates = self._take_updates()
        receiver = self.members.get(instance)
        if receiver is not None and members.is_suspected_or_dead(receiver):
            updates.insert(0, receiver)
        return messages.Heartbeat(
            self.members.own.instance,
            tuple(updates),
            self.topic_table.get_digests(),
            receiver is not None,
            self.platform_signs.get_age_ms(),
            self.platform_signs.newest_doubt,
        )

    def _take_updates(self) -> list[members.Member]:
        """Takes as many updates as a message and the rate limits allow."""
        queue = self.members.updates
        limit = self.settings.updates_per_message
        member_count = len(self.members.get_live()) + 1
        wanted = min(limit, queue.count_urgent())
        urgent = self._urgent_update_tokens.take(wanted)
        wanted = min(limit - urgent, len(queue) - queue.count_urgent())
        non_urgent = self._update_tokens.take(wanted)
        return queue.take(urgent + non_urgent, member_count, non_urgent)

    def answer_heartbeat(
        self, heartbeat: messages.Heartbeat
    ) -> messages.Heartbeat:
        """Applies a heartbeat and returns the answer.

        The answer to an unknown daemon also contains some members.
        """
        is_newcomer = self.members.get(heartbeat.sender) is None
        self.apply_heartbeat(heartbeat)
        answer = self.make_heartbeat(heartbeat.sender)
        if not is_newcomer:
            return answer
        introduced = self._pick_introduced_members(heartbeat.sender)
        return dataclasses.replace(
            answer, updates=(*answer.updates, *introduced)
        )

    def _pick_introduced_members(self, newcomer: str) -> list[members.Member]:
        """Picks members for a newcomer to contact besides this daemon."""
        candidates = [
            member
            for member in self.members.get_live()
            if member.instance != newcomer
            and not members.is_suspected_or_dead(member)
        ]
        count = min(self.settings.introduced_members, len(candidates))
        return [self.members.own, *self.random.sample(candidates, count)]

    async def _introduce_self(self, address: str, timeout_ms: int) -> None:
        """Sends the own member to a peer that does not know it."""
        heartbeat = messages.Heartbeat(
            self.members.own.instance,
            (self.members.own,),
            self.topic_table.get_digests(),
        )
        await self.link.ask(address, heartbeat, timeout_ms)

    async def join_via(self, address: str, timeout_ms: int) -> None:
        """Exchanges member updates with the daemon at an address.

        No topics are pulled. All starting daemons contact the few members
        whose addresses they know, such as seeds; pulls would concentrate on
        these, and any other member has the same entries.

        Raises:
          MembershipError: the peer did not answer, or refused.
        """
        answer = await self._exchange_heartbeats(address, "", timeout_ms)
        if not answer.knows_receiver:
            await self._introduce_self(address, timeout_ms)

    async def synchronise(
        self, address: str, instance: str, timeout_ms: int
    ) -> None:
        """Exchanges heartbeats and pulls the topics that differ.

        A failed pull is only counted.

        Raises:
          MembershipError: the peer did not answer the heartbeat, or refused.
        """
        answer = await self._exchange_heartbeats(address, instance, timeout_ms)
        try:
            if not answer.knows_receiver:
                await self._introduce_self(address, timeout_ms)
            await self._pull_differing(address, instance, answer.digests)
        except errors.MembershipError:
            self.recorder.record_peer_failure("pull")

    async def _exchange_heartbeats(
        self, address: str, instance: str, timeout_ms: int
    ) -> messages.Heartbeat:
        answer = await self.link.ask(
            address, self.make_heartbeat(instance), timeout_ms
        )
        match answer:
            case messages.Heartbeat():
                self.apply_heartbeat(answer)
                return answer
            case _:
                raise errors.PeerRefusedError(
                    f"heartbeat to {address}: expected Heartbeat, got"
                    f" {type(answer).__name__}"
                )

    def apply_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Applies the updates, the sign and the doubt of a heartbeat."""
        self.platform_signs.add_doubt(heartbeat.platform_doubt)
        self.platform_signs.merge(heartbeat.platform_sign_age_ms)
        for member in heartbeat.updates:
            self.apply_update(member)

    def apply_update(
        self, member: members.Member, *, disseminate: bool = True
    ) -> None:
        """Applies an update of one member and reports the change.

        An update that this daemon has to refute is a sign that it is slow or
        cut off; see `health`. `disseminate` is explained in
        `table.MemberTable.apply_update`.
        """
        own_before = self.members.own
        if not self.members.apply_update(member, disseminate=disseminate):
            return
        if self.members.own is not own_before:
            self.health.record_unhealthy()
            self.recorder.record_decision("refuted")
            self._on_member_changed(self.members.own)
        else:
            self._on_member_changed(member)

    def needs_immediate_pull(
        self, instance: str, peer_digests: Iterable[messages.TopicDigest]
    ) -> bool:
        """Returns whether a topic that is not lazy differs and is due."""
        return any(
            topic.number not in gossip_topics.LAZY_TOPICS
            and self._is_pull_due(_make_pull_key(topic.number, instance))
            for topic in self.topic_table.find_differing(peer_digests)
        )

    def record_decision(self, instance: str, decision: str) -> None:
        """Counts a decision of this daemon and reports the changed member.

        The decisions are listed in `recorder.Recorder`.
        """
        self.recorder.record_decision(decision)
        member = self.members.get(instance)
        if member is not None:
            self._on_member_changed(member)

    async def _pull_differing(
        self,
        address: str,
        instance: str,
        peer_digests: Iterable[messages.TopicDigest],
    ) -> None:
        for topic in self.topic_table.find_differing(peer_digests):
            key = _make_pull_key(topic.number, instance)
            if not self._allow_pull(key):
                continue
            self._pulled_at_ms[key] = clock.get_now_ms()
            if await self.topic_table.pull(self.link, address, topic):
                self._handle_pulled(key)

    def _handle_pulled(self, key: tuple[int, str]) -> None:
        """Reports pulled entries unless their topic is lazy.

        A reported topic may be pulled again before `pull_interval_ms` have
        passed.
        """
        if key[0] not in gossip_topics.LAZY_TOPICS:
            self._pulled_at_ms.pop(key, None)
            self._on_entries_pulled()

    def _is_pull_due(self, key: tuple[int, str]) -> bool:
        pulled_at_ms = self._pulled_at_ms.get(key)
        if pulled_at_ms is None:
            return True
        elapsed_ms = clock.get_now_ms() - pulled_at_ms
        return elapsed_ms >= self.settings.pull_interval_ms

    def _allow_pull(self, key: tuple[int, str]) -> bool:
        """Returns whether to pull a topic now; takes a token if it is lazy."""
        if not self._is_pull_due(key):
            return False
        number = key[0]
        if number not in gossip_topics.LAZY_TOPICS:
            return True
        tokens = self._pull_tokens.setdefault(
            number,
            token_bucket.TokenBucket(
                self.settings.lazy_pulls_per_s,
                self.settings.lazy_pull_burst,
            ),
        )
        return tokens.take(1) == 1


def _make_pull_key(number: int, instance: str) -> tuple[int, str]:
    """Returns the key of the interval between pulls of a topic.

    A peer that is itself behind must not delay the pull from another one, but
    lazy topics are pulled at a low rate in all.
    """
    return (number, "" if number in gossip_topics.LAZY_TOPICS else instance)
