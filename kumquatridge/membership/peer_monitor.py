"""Failure detector for one peer: heartbeats, suspicion and confirmation."""

import asyncio

from kumquatridge import clock
from kumquatridge.membership import errors
from kumquatridge.membership import heartbeat_exchange
from kumquatridge.membership import member as members
from kumquatridge.membership import messages

# A leaving member is marked as dead after this time.
LEAVING_TIMEOUT_MS = 120_000
# A failed member is one that is suspected or dead. With more failed members
# than this, the interval at which a dead one is contacted grows in proportion
# to the number of failed members, which bounds the total rate.
MAX_FAILED_AT_BASE_INTERVAL = 10


class PeerMonitor:
    """Sends heartbeats to one peer and follows its state."""

    def __init__(
        self, exchange: heartbeat_exchange.HeartbeatExchange, instance: str
    ) -> None:
        self._exchange = exchange
        self._settings = exchange.settings
        self._members = exchange.members
        self._health = exchange.health
        self._instance = instance
        self._wakeup = asyncio.Event()
        # What the task was woken up for; both may come before it runs.
        self._send_requested = False
        self._recheck_requested = False
        self._next_send_ms = 0.0
        self._live_count_when_scheduled = 0

    def send_now(self) -> None:
        """Sends the next heartbeat at once if the peer is alive or dead.

        The time-outs of a suspected or leaving peer are not shortened.
        """
        self._send_requested = True
        self._wakeup.set()

    def recheck_state(self) -> None:
        """Makes the task check the member's state again."""
        self._recheck_requested = True
        self._wakeup.set()

    async def run(self) -> None:
        """Monitors the peer until it is removed from the member table."""
        self._schedule_next()
        while (member := self._members.get(self._instance)) is not None:
            self._recheck_requested = False
            match member.state:
                case members.Alive():
                    await self._heartbeat_when_due(member)
                case members.Suspected(since_ms):
                    await self._await_refutation(member, since_ms)
                case members.Leaving():
                    await self._await_departure(member)
                case members.Dead(since_ms):
                    await self._retry_dead(member, since_ms)

    async def _heartbeat_when_due(self, member: members.Member) -> None:
        live_count = len(self._members.get_live())
        if live_count * 2 < self._live_count_when_scheduled:
            # The mean interval grows with the number of live members; the one
            # that was drawn is too long now.
            self._schedule_next()
        if not await self._wait_until(self._next_send_ms):
            return
        self._schedule_next()
        if await self._try_synchronise(member):
            self._health.record_healthy()
        # On a lossy network one more heartbeat is tried first.
        elif not (
            self._health.is_lossy and await self._try_synchronise(member)
        ):
            await self._probe_again_or_suspect(member)

    def _schedule_next(self) -> None:
        """Draws the time of the next heartbeat.

        Intervals are exponentially distributed, so that the total rate at which
        all daemons send heartbeats to a peer does not depend on when they
        started to monitor it.
        """
        live_count = max(1, len(self._members.get_live()))
        self._live_count_when_scheduled = live_count
        mean_ms = self._health.stretch_interval(
            self._settings.heartbeat_ms * live_count
        )
        self._next_send_ms = clock.get_now_ms() + mean_ms * (
            self._exchange.random.expovariate(1.0)
        )

    async def _wait_until(self, due_ms: float) -> bool:
        """Waits until a time or a wake-up.

        Returns whether the time has come or a heartbeat was requested. After
        any other wake-up the member's state has to be checked again.
        """
        if self._send_requested or await self._wait_for_wakeup(due_ms):
            return self._take_request()
        return True

    async def _wait_for_wakeup(self, due_ms: float) -> bool:
        """Waits for a wake-up; returns False if the time comes first."""
        delay_ms = due_ms - clock.get_now_ms()
        try:
            async with asyncio.timeout(max(0.0, delay_ms) / 1000.0):
                await self._wakeup.wait()
        except TimeoutError:
            return False
        self._wakeup.clear()
        return True

    def _take_request(self) -> bool:
        """Returns whether a heartbeat was requested; forgets the request."""
        is_requested, self._send_requested = self._send_requested, False
        return is_requested

    async def _wait_whole(self, due_ms: float) -> bool:
        """Waits until a time; requests for a heartbeat don't shorten it.

        Returns False if the member's state has to be checked again before.
        """
        while await self._wait_for_wakeup(due_ms):
            if self._recheck_requested:
                return False
            self._take_request()
        return True

    async def _try_synchronise(self, member: members.Member) -> bool:
        """Exchanges heartbeats; returns whether the peer counts as alive.

        A refusal is an answer too. A missing answer is ignored if this daemon
        runs late.
        """
        timeout_ms = self._health.scale_timeout(
            self._settings.answer_timeout_ms
        )
        due_ms = clock.get_now_ms() + timeout_ms
        try:
            await self._exchange.synchronise(
                member.control_address, member.instance, timeout_ms
            )
        except errors.PeerRefusedError:
            self._exchange.recorder.record_peer_failure("refused")
        except errors.MembershipError:
            self._exchange.recorder.record_peer_failure("silent")
            self._health.record_exchange(is_answered=False)
            return self._health.detect_lateness(due_ms)
        self._health.record_exchange(is_answered=True)
        return True

    async def _probe_again_or_suspect(self, member: members.Member) -> None:
        """Probes a silent peer again, directly and through other members.

        If no probe is answered, the peer is marked as suspected. Nothing is
        done if other members could probe it but the rate limit allows none.
        """
        answer_timeout_ms = self._settings.answer_timeout_ms
        # An indirect probe consists of two exchanges.
        allowed_ms = max(
            self._health.scale_timeout(answer_timeout_ms), answer_timeout_ms * 2
        )
        due_ms = clock.get_now_ms() + allowed_ms
        candidates = self._list_probers()
        probers = self._pick_probers(candidates)
        if candidates and not probers:
            return
        reached = await asyncio.gather(
            self._try_synchronise(member),
            *(self._request_probe(prober) for prober in probers),
        )
        if self._health.detect_lateness(due_ms):
            return
        self._health.record_unhealthy()
        if any(reached):
            return
        asked = ", ".join(prober.instance for prober in probers) or "nobody"
        reason = (
            f"no answer to {self._members.own.instance}; "
            f"asked to probe it: {asked}"
        )
        if self._members.suspect(member.instance, member.incarnation, reason):
            self._exchange.record_decision(member.instance, "suspected")

    def _list_probers(self) -> list[members.Member]:
        return [
            member
            for member in self._members.get_live()
            if member.instance != self._instance
            and not members.is_suspected_or_dead(member)
        ]

    def _pick_probers(
        self, candidates: list[members.Member]
    ) -> list[members.Member]:
        """Picks members for indirect probes, as the rate limit allows."""
        wanted = min(self._settings.indirect_peers, len(candidates))
        count = self._exchange.probe_tokens.take(wanted)
        return self._exchange.random.sample(candidates, count)

    async def _request_probe(self, prober: members.Member) -> bool:
        try:
            answer = await self._exchange.link.ask(
                prober.control_address,
                messages.ProbeRequest(self._instance),
                self._settings.answer_timeout_ms * 2,
            )
        except errors.MembershipError:
            return False
        match answer:
            case messages.ProbeAnswer(reached):
                return reached
            case _:
                return False

    async def _await_refutation(
        self, member: members.Member, since_ms: float
    ) -> None:
        """Marks a suspected peer as dead unless it refutes in time.

        After half of the time-out some members contact the peer, so that it
        learns of the suspicion. The time-out starts again if this daemon runs
        late.
        """
        suspicion_timeout_ms = self._health.scale_timeout(
            self._settings.suspicion_timeout_ms
        )
        if not await self._wait_whole(since_ms + suspicion_timeout_ms / 2):
            return
        if self._is_chosen_to_notify():
            await self._try_synchronise(member)
        due_ms = since_ms + suspicion_timeout_ms
        if not await self._wait_whole(due_ms):
            return
        while self._health.detect_lateness(due_ms):
            due_ms = clock.get_now_ms() + suspicion_timeout_ms
            if not await self._wait_whole(due_ms):
                return
        if self._members.confirm_dead(
            member.instance, member.incarnation, "suspected for too long"
        ):
            self._exchange.record_decision(member.instance, "died")

    def _is_chosen_to_notify(self) -> bool:
        """Decides at random whether this daemon contacts a suspected peer.

        Of all live members, about `urgent_fanout` decide to do so.
        """
        live_count = len(self._members.get_live())
        return (
            self._exchange.random.random() * live_count
            < self._settings.urgent_fanout
        )

    async def _await_departure(self, member: members.Member) -> None:
        if not await self._wait_whole(clock.get_now_ms() + LEAVING_TIMEOUT_MS):
            return
        if self._members.confirm_dead(
            member.instance, member.incarnation, members.DEPARTED
        ):
            self._exchange.record_decision(member.instance, "left")

    async def _retry_dead(
        self, member: members.Member, since_ms: float
    ) -> None:
        """Contacts a dead peer after an interval, as it may have been cut off.

        After its retention period the peer is removed instead.
        """
        self._exchange.link.disconnect(member.control_address)
        now_ms = clock.get_now_ms()
        if now_ms - since_ms > self._settings.dead_retention_ms:
            self._members.remove(member.instance)
            return
        failed_count = sum(
            1
            for listed in self._members
            if members.is_suspected_or_dead(listed)
        )
        retry_ms = self._settings.dead_retry_ms * max(
            1, failed_count / MAX_FAILED_AT_BASE_INTERVAL
        )
        jitter_factor = 0.5 + self._exchange.random.random()
        if await self._wait_until(now_ms + retry_ms * jitter_factor):
            await self._try_synchronise(member)
