"""The exchange of updates between the daemons of one data centre."""

import asyncio
from collections.abc import Coroutine, Iterable
import types
from typing import Self

from kumquatridge.membership import budget
from kumquatridge.membership import conversation
from kumquatridge.membership import errors
from kumquatridge.membership import exchange
from kumquatridge.membership import links
from kumquatridge.membership import member as members
from kumquatridge.membership import messages
from kumquatridge.membership import recorder as membership_recorder
from kumquatridge.membership import settings as gossip_settings
from kumquatridge.membership import summaries
from kumquatridge.membership import table
from kumquatridge.membership import topics as gossip_topics
from kumquatridge.telemetry import events

SEED_RETRY_MS = 1000
SEED_CHECK_MS = 30_000


class Gossip:
    """Talks to the members of the data centre while its context is open."""

    def __init__(
        self,
        settings: gossip_settings.GossipSettings,
        members_table: table.MemberTable,
        link: links.ControlLink,
        recorder: membership_recorder.Recorder,
        seed: int,
    ) -> None:
        self._settings = settings
        self._members = members_table
        self._shared = exchange.Exchange(
            settings,
            members_table,
            link,
            recorder,
            seed,
            on_change=self._take_change,
            on_content=self.announce_now,
        )
        self._conversations: dict[str, conversation.Conversation] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._announced = asyncio.Event()
        self._doubt_budget = budget.RateBudget(
            settings.urgent_doubts_per_s, settings.urgent_doubt_burst
        )
        self._probing = 0
        self._open = False

    async def __aenter__(self) -> Self:
        """Starts a task for each member that is known already."""
        self._open = True
        self._start_task(self._announce())
        for member in self._members:
            self._start_conversation(member.instance)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops all tasks."""
        self._open = False
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def add_topic(self, topic: gossip_topics.GossipTopic) -> None:
        """Adds a topic that spreads along with the heartbeats."""
        self._shared.board.add(topic)

    def learn_pulled(self, member: members.Member) -> None:
        """Takes in a member that a pull brought."""
        self._shared.learn(member, pass_on=False)

    def join(self, addresses: Iterable[str]) -> None:
        """Starts a task for each address where a member may be found."""
        for address in addresses:
            if address != self._members.own.control_address:
                self._start_task(self._talk_to_seed(address))

    async def meet(self, addresses: Iterable[str]) -> None:
        """Talks once to each address where a member may be found."""
        own = self._members.own.control_address
        await asyncio.gather(
            *(self._try_address(one) for one in addresses if one != own)
        )

    def announce_now(self) -> None:
        """Tells some peers as soon as the rate allows; they pass it on."""
        self._announced.set()

    async def answer(self, request: messages.Request) -> messages.Answer:
        """Answers a request of another daemon."""
        match request:
            case messages.Heartbeat():
                return self._answer_heartbeat(request)
            case messages.ProbeRequest(instance):
                return messages.ProbeAnswer(await self._probe(instance))
            case messages.VersionsRequest():
                return self._shared.board.answer_versions(request)
            case messages.EntriesRequest():
                return self._shared.board.answer_entries(request)
            case messages.SummaryRequest(_, known):
                return summaries.make_summary(self._members, known)

    def _answer_heartbeat(
        self, heartbeat: messages.Heartbeat
    ) -> messages.Heartbeat:
        answer = self._shared.answer_heartbeat(heartbeat)
        sender = self._conversations.get(heartbeat.sender)
        if sender and self._shared.wants_pull(heartbeat.digests):
            sender.urge()
        return answer

    async def _probe(self, instance: str) -> bool:
        member = self._members.get(instance)
        if member is None or self._probing >= (
            self._settings.max_indirect_probes
        ):
            return False
        self._probing += 1
        try:
            await self._shared.talk(
                member.control_address,
                instance,
                self._settings.answer_timeout_ms,
            )
        except errors.PeerRefusedError:
            return True
        except errors.MembershipError:
            return False
        finally:
            self._probing -= 1
        return True

    async def _announce(self) -> None:
        while True:
            await self._announced.wait()
            self._announced.clear()
            self._urge_some()
            await asyncio.sleep(1.0 / self._settings.urgent_per_s)

    def _urge_some(self) -> None:
        live = [
            self._conversations[one.instance]
            for one in self._members.get_live()
            if one.instance in self._conversations
        ]
        count = min(self._settings.urgent_peers, len(live))
        for one in self._shared.random.sample(live, count):
            one.urge()

    async def _talk_to_seed(self, address: str) -> None:
        """Talks to an address until a member of that address is known."""
        while self._open:
            delay_ms = SEED_CHECK_MS
            if not self._knows_address(address):
                await self._try_address(address)
            if not self._members.get_live():
                delay_ms = SEED_RETRY_MS
            spread = 0.5 + self._shared.random.random()
            await asyncio.sleep(delay_ms * spread / 1000.0)

    async def _try_address(self, address: str) -> None:
        try:
            await self._shared.greet(address, self._settings.answer_timeout_ms)
        except errors.MembershipError:
            self._shared.recorder.record_peer_failure("seed")

    def _knows_address(self, address: str) -> bool:
        return any(
            one.control_address == address for one in self._members.get_live()
        )

    def _take_change(self, member: members.Member) -> None:
        events.log(
            events.MemberChanged(
                member.instance,
                member.incarnation,
                type(member.state).__name__,
            )
        )
        self._start_conversation(member.instance)
        is_own = member.instance == self._members.own.instance
        is_doubt = is_own or members.is_doubted(member)
        if members.is_out(member) or (
            is_doubt and self._doubt_budget.take(1) == 1
        ):
            self.announce_now()

    def _start_conversation(self, instance: str) -> None:
        if instance == self._members.own.instance or not self._open:
            return
        running = self._conversations.get(instance)
        if running is not None:
            running.wake()
            return
        started = conversation.Conversation(self._shared, instance)
        self._conversations[instance] = started
        self._start_task(self._run_conversation(instance, started))

    async def _run_conversation(
        self, instance: str, started: conversation.Conversation
    ) -> None:
        try:
            await started.run()
        finally:
            del self._conversations[instance]

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end_task)

    def _end_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            events.log(events.ControlTaskFailed(task.get_name(), repr(error)))
