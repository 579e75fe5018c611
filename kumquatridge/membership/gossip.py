"""Gossip of member updates between the daemons of one data centre."""

import asyncio
from collections.abc import Coroutine, Iterable
import types
from typing import Self

from kumquatridge.membership import errors
from kumquatridge.membership import heartbeat_exchange
from kumquatridge.membership import links
from kumquatridge.membership import member as members
from kumquatridge.membership import messages
from kumquatridge.membership import peer_monitor
from kumquatridge.membership import platform_signs as signs
from kumquatridge.membership import recorder as membership_recorder
from kumquatridge.membership import settings as gossip_settings
from kumquatridge.membership import summaries
from kumquatridge.membership import table
from kumquatridge.membership import token_bucket
from kumquatridge.membership import topics as gossip_topics
from kumquatridge.telemetry import events

# Mean interval of contacting a seed while no other live member is known.
SEED_RETRY_MS = 1000
# Mean interval, otherwise, of the check that a live member has the seed's
# address.
SEED_CHECK_MS = 30_000


class Gossip:
    """Exchanges heartbeats with the members while its context is open.

    There is one monitoring task for each member but this daemon's own. `seed`
    is that of the random numbers; elsewhere in this class a seed is a daemon
    whose address the settings name.
    """

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
        self._exchange = heartbeat_exchange.HeartbeatExchange(
            settings,
            members_table,
            link,
            recorder,
            seed,
            on_member_changed=self._handle_change,
            on_entries_pulled=self.notify_peers,
        )
        self._monitors: dict[str, peer_monitor.PeerMonitor] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._notify_requested = asyncio.Event()
        self._suspicion_tokens = token_bucket.TokenBucket(
            settings.urgent_suspicions_per_s, settings.urgent_suspicion_burst
        )
        # Probes in progress that other members requested.
        self._active_probes = 0
        self._is_open = False

    async def __aenter__(self) -> Self:
        """Starts a monitor for each known member."""
        self._is_open = True
        self._start_task(self._notify_when_requested())
        for member in self._members:
            self._start_monitor(member.instance)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops all tasks."""
        self._is_open = False
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    @property
    def platform_signs(self) -> signs.PlatformSigns:
        """The signs that a daemon is in touch with the platform."""
        return self._exchange.platform_signs

    def add_topic(self, topic: gossip_topics.GossipTopic) -> None:
        """Adds a topic that is disseminated with the heartbeats."""
        self._exchange.topic_table.add(topic)

    def apply_pulled(self, member: members.Member) -> None:
        """Applies a member that was pulled from a peer."""
        self._exchange.apply_update(member, disseminate=False)

    def join(self, addresses: Iterable[str]) -> None:
        """Starts a task for each seed address except this daemon's."""
        for address in addresses:
            if address != self._members.own.control_address:
                self._start_task(self._join_seed(address))

    async def join_once(self, addresses: Iterable[str]) -> None:
        """Tries once to join the members at some addresses."""
        own = self._members.own.control_address
        await asyncio.gather(
            *(
                self._try_join(address)
                for address in addresses
                if address != own
            )
        )

    def notify_peers(self) -> None:
        """Requests heartbeats to some random peers ahead of their schedule.

        They are sent as soon as the rate limit allows.
        """
        self._notify_requested.set()

    def notify(self, instances: Iterable[str]) -> None:
        """Sends heartbeats to some members at once."""
        for instance in instances:
            monitor = self._monitors.get(instance)
            if monitor is not None:
                monitor.send_now()

    async def answer(self, request: messages.Request) -> messages.Answer:
        """Answers a request of another daemon."""
        match request:
            case messages.Heartbeat():
                return self._answer_heartbeat(request)
            case messages.ProbeRequest(instance):
                return messages.ProbeAnswer(await self._probe(instance))
            case messages.VersionsRequest():
                return self._exchange.topic_table.answer_versions(request)
            case messages.EntriesRequest():
                return self._exchange.topic_table.answer_entries(request)
            case messages.SummaryRequest(_, known_digest):
                return summaries.make_summary(self._members, known_digest)

    def _answer_heartbeat(
        self, heartbeat: messages.Heartbeat
    ) -> messages.Heartbeat:
        answer = self._exchange.answer_heartbeat(heartbeat)
        sender_monitor = self._monitors.get(heartbeat.sender)
        if sender_monitor and self._exchange.needs_immediate_pull(
            heartbeat.sender, heartbeat.digests
        ):
            sender_monitor.send_now()
        return answer

    async def _probe(self, instance: str) -> bool:
        """Probes `instance` on behalf of another member.

        Returns whether `instance` answered; False without a probe if it is not
        known or too many probes are in progress.
        """
        member = self._members.get(instance)
        if member is None or self._active_probes >= (
            self._settings.max_indirect_probes
        ):
            return False
        self._active_probes += 1
        try:
            await self._exchange.synchronise(
                member.control_address,
                instance,
                self._settings.answer_timeout_ms,
            )
        except errors.PeerRefusedError:
            # A refusal is an answer, so the member is alive.
            return True
        except errors.MembershipError:
            return False
        finally:
            self._active_probes -= 1
        return True

    async def _notify_when_requested(self) -> None:
        while True:
            await self._notify_requested.wait()
            self._notify_requested.clear()
            self._notify_random_peers()
            await asyncio.sleep(1.0 / self._settings.urgent_rounds_per_s)

    def _notify_random_peers(self) -> None:
        live = [
            self._monitors[member.instance]
            for member in self._members.get_live()
            if member.instance in self._monitors
        ]
        count = min(self._settings.urgent_fanout, len(live))
        for monitor in self._exchange.random.sample(live, count):
            monitor.send_now()

    async def _join_seed(self, address: str) -> None:
        """Contacts an address whenever no live member has it.

        The interval is shorter while no other live member is known.
        """
        while self._is_open:
            delay_ms = SEED_CHECK_MS
            if not self._has_live_member_at(address):
                await self._try_join(address)
            if not self._members.get_live():
                delay_ms = SEED_RETRY_MS
            jitter_factor = 0.5 + self._exchange.random.random()
            await asyncio.sleep(delay_ms * jitter_factor / 1000.0)

    async def _try_join(self, address: str) -> None:
        try:
            await self._exchange.join_via(
                address, self._settings.answer_timeout_ms
            )
        except errors.MembershipError:
            self._exchange.recorder.record_peer_failure("seed")

    def _has_live_member_at(self, address: str) -> bool:
        return any(
            member.control_address == address
            for member in self._members.get_live()
        )

    def _handle_change(self, member: members.Member) -> None:
        """Logs a changed member, monitors it and notifies peers if urgent.

        Departures and deaths are always urgent, suspicions and refutations as
        the rate limit allows. The only change of the own member that is passed
        here is a refutation.
        """
        events.log(
            events.MemberChanged(
                member.instance,
                member.incarnation,
                type(member.state).__name__,
            )
        )
        self._start_monitor(member.instance)
        is_own = member.instance == self._members.own.instance
        is_rate_limited = is_own or members.is_suspected_or_dead(member)
        if members.is_leaving_or_dead(member) or (
            is_rate_limited and self._suspicion_tokens.take(1) == 1
        ):
            self.notify_peers()

    def _start_monitor(self, instance: str) -> None:
        if instance == self._members.own.instance or not self._is_open:
            return
        running_monitor = self._monitors.get(instance)
        if running_monitor is not None:
            running_monitor.recheck_state()
            return
        monitor = peer_monitor.PeerMonitor(self._exchange, instance)
        self._monitors[instance] = monitor
        self._start_task(self._run_monitor(instance, monitor))

    async def _run_monitor(
        self, instance: str, monitor: peer_monitor.PeerMonitor
    ) -> None:
        try:
            await monitor.run()
        finally:
            del self._monitors[instance]

    def _start_task(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._finish_task)

    def _finish_task(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            events.log(events.ControlTaskFailed(task.get_name(), repr(error)))
