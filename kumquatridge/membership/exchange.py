"""One exchange of heartbeats with one peer, from either side."""

from collections.abc import Callable, Iterable
import dataclasses
import random

from kumquatridge import clock
from kumquatridge.membership import board as topic_board
from kumquatridge.membership import budget
from kumquatridge.membership import errors
from kumquatridge.membership import health as local_health
from kumquatridge.membership import links
from kumquatridge.membership import member as members
from kumquatridge.membership import messages
from kumquatridge.membership import recorder as membership_recorder
from kumquatridge.membership import settings as gossip_settings
from kumquatridge.membership import table
from kumquatridge.membership import topics as gossip_topics


class Exchange:
    """What all conversations of a daemon share.

    `on_change` is called for each member of whom an update was taken in, and
    `on_content` when a pull brought entries.
    """

    def __init__(
        self,
        settings: gossip_settings.GossipSettings,
        members_table: table.MemberTable,
        link: links.ControlLink,
        recorder: membership_recorder.Recorder,
        seed: int,
        *,
        on_change: Callable[[members.Member], None],
        on_content: Callable[[], None],
    ) -> None:
        self.settings = settings
        self.members = members_table
        self.link = link
        self.board = topic_board.TopicBoard(settings)
        self.recorder = recorder
        self.random = random.Random(seed)
        self.health = local_health.LocalHealth()
        self._on_change = on_change
        self._on_content = on_content
        self._pulled_at_ms: dict[int, float] = {}
        self._pull_budgets: dict[int, budget.RateBudget] = {}
        self._urgent_updates_budget = budget.RateBudget(
            settings.urgent_updates_per_s, settings.urgent_updates_burst
        )
        self._updates_budget = budget.RateBudget(
            settings.updates_per_s, settings.updates_burst
        )
        self.probe_budget = budget.RateBudget(
            settings.probes_per_s, settings.probe_burst
        )

    def make_heartbeat(self, to: str) -> messages.Heartbeat:
        """Returns a heartbeat with updates, that on the receiver first."""
        updates = self._take_updates()
        receiver = self.members.get(to)
        if receiver is not None and members.is_doubted(receiver):
            updates.insert(0, receiver)
        return messages.Heartbeat(
            self.members.own.instance,
            tuple(updates),
            self.board.get_digests(),
            receiver is not None,
        )

    def _take_updates(self) -> list[members.Member]:
        queue = self.members.updates
        limit = self.settings.updates_per_message
        member_count = len(self.members.get_live()) + 1
        wanted = min(limit, queue.count_urgent())
        urgent = self._urgent_updates_budget.take(wanted)
        wanted = min(limit - urgent, len(queue) - queue.count_urgent())
        patient = self._updates_budget.take(wanted)
        return queue.take(urgent + patient, member_count, patient)

    def answer_heartbeat(
        self, heartbeat: messages.Heartbeat
    ) -> messages.Heartbeat:
        """Takes in a heartbeat; a stranger is told of some members."""
        is_stranger = self.members.get(heartbeat.sender) is None
        self.take(heartbeat)
        answer = self.make_heartbeat(heartbeat.sender)
        if not is_stranger:
            return answer
        named = self._pick_introductions(heartbeat.sender)
        return dataclasses.replace(answer, updates=(*answer.updates, *named))

    def _pick_introductions(self, stranger: str) -> list[members.Member]:
        """Picks whom a stranger may turn to, so that it asks not only this."""
        known = [
            one
            for one in self.members.get_live()
            if one.instance != stranger and not members.is_doubted(one)
        ]
        count = min(self.settings.introductions, len(known))
        return [self.members.own, *self.random.sample(known, count)]

    async def _introduce(self, address: str, timeout_ms: int) -> None:
        """Tells a peer of this daemon, which the peer does not know."""
        heartbeat = messages.Heartbeat(
            self.members.own.instance,
            (self.members.own,),
            self.board.get_digests(),
        )
        await self.link.ask(address, heartbeat, timeout_ms)

    async def greet(self, address: str, timeout_ms: int) -> None:
        """Makes this daemon known at an address and learns of others there.

        Nothing is pulled: whoever is known by its address alone is asked by
        all that start, and others have the same.

        Raises:
          MembershipError: the peer did not answer, or refused.
        """
        answer = await self._exchange_heartbeats(address, "", timeout_ms)
        if not answer.knows_receiver:
            await self._introduce(address, timeout_ms)

    async def talk(self, address: str, to: str, timeout_ms: int) -> None:
        """Exchanges heartbeats and pulls what differs.

        Raises:
          MembershipError: the peer did not answer, or refused.
        """
        answer = await self._exchange_heartbeats(address, to, timeout_ms)
        try:
            if not answer.knows_receiver:
                await self._introduce(address, timeout_ms)
            await self._pull_differing(address, answer.digests)
        except errors.MembershipError:
            self.recorder.record_peer_failure("pull")

    async def _exchange_heartbeats(
        self, address: str, to: str, timeout_ms: int
    ) -> messages.Heartbeat:
        answer = await self.link.ask(
            address, self.make_heartbeat(to), timeout_ms
        )
        match answer:
            case messages.Heartbeat():
                self.take(answer)
                return answer
            case _:
                raise errors.PeerRefusedError(f"{address}: not a heartbeat")

    def take(self, heartbeat: messages.Heartbeat) -> None:
        """Takes in the updates of a heartbeat."""
        for member in heartbeat.updates:
            self.learn(member)

    def learn(self, member: members.Member, *, pass_on: bool = True) -> None:
        """Takes in an update of one member."""
        own_before = self.members.own
        if not self.members.learn(member, pass_on=pass_on):
            return
        if self.members.own is not own_before:
            self.health.record_bad()
            self.recorder.record_verdict("refuted")
            self._on_change(self.members.own)
        else:
            self._on_change(member)

    def wants_pull(self, theirs: Iterable[messages.TopicDigest]) -> bool:
        """Tells whether a pull from that peer can't wait for a heartbeat."""
        return any(
            topic.number not in gossip_topics.PATIENT
            and self._may_pull(topic.number)
            for topic in self.board.find_differing(theirs)
        )

    def note_change(self, instance: str, verdict: str) -> None:
        """Counts and passes on a verdict of this daemon's own."""
        self.recorder.record_verdict(verdict)
        member = self.members.get(instance)
        if member is not None:
            self._on_change(member)

    async def _pull_differing(
        self, address: str, theirs: Iterable[messages.TopicDigest]
    ) -> None:
        for topic in self.board.find_differing(theirs):
            if not self._take_pull(topic.number):
                continue
            self._pulled_at_ms[topic.number] = clock.get_now_ms()
            if await self.board.pull(self.link, address, topic):
                self._on_pulled(topic.number)

    def _on_pulled(self, number: int) -> None:
        """Passes on at once what can't wait."""
        if number not in gossip_topics.PATIENT:
            self._pulled_at_ms.pop(number, None)
            self._on_content()

    def _may_pull(self, number: int) -> bool:
        pulled_at_ms = self._pulled_at_ms.get(number)
        if pulled_at_ms is None:
            return True
        since_ms = clock.get_now_ms() - pulled_at_ms
        return since_ms >= self.settings.pull_interval_ms

    def _take_pull(self, number: int) -> bool:
        if not self._may_pull(number):
            return False
        if number not in gossip_topics.PATIENT:
            return True
        pulls = self._pull_budgets.setdefault(
            number,
            budget.RateBudget(
                self.settings.patient_pulls_per_s,
                self.settings.patient_pull_burst,
            ),
        )
        return pulls.take(1) == 1
