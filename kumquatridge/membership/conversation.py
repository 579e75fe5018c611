"""The task that talks to one peer and judges whether it lives."""

import asyncio

from kumquatridge import clock
from kumquatridge.membership import errors
from kumquatridge.membership import exchange
from kumquatridge.membership import member as members
from kumquatridge.membership import messages

LEAVING_MS = 120_000
DEAD_PER_RETRY = 10


class Conversation:
    """Heartbeats to one peer, one after another, as long as it is known."""

    def __init__(self, shared: exchange.Exchange, instance: str) -> None:
        self._shared = shared
        self._settings = shared.settings
        self._members = shared.members
        self._health = shared.health
        self._instance = instance
        self._woken = asyncio.Event()
        self._urged = False
        self._next_ms = 0.0
        self._live_when_drawn = 0

    def urge(self) -> None:
        """Makes the next heartbeat go out at once."""
        self._urged = True
        self._woken.set()

    def wake(self) -> None:
        """Makes the task look at the member's state again."""
        self._woken.set()

    async def run(self) -> None:
        """Talks to the peer until it is forgotten."""
        self._draw_next()
        while (member := self._members.get(self._instance)) is not None:
            match member.state:
                case members.Alive():
                    await self._converse(member)
                case members.Suspected(since_ms):
                    await self._await_refutation(member, since_ms)
                case members.Leaving():
                    await self._await_departure(member)
                case members.Dead(since_ms):
                    await self._await_return(member, since_ms)

    async def _converse(self, member: members.Member) -> None:
        live = len(self._members.get_live())
        if live * 2 < self._live_when_drawn:
            self._draw_next()
        if not await self._wait_until(self._next_ms):
            return
        self._draw_next()
        if await self._talk(member):
            self._health.record_good()
        elif not (self._health.is_lossy and await self._talk(member)):
            await self._doubt(member)

    def _draw_next(self) -> None:
        """Draws when to talk next.

        The times are exponential, so that a peer hears from somebody at the
        same rate whenever its conversations began.
        """
        live = max(1, len(self._members.get_live()))
        self._live_when_drawn = live
        mean_ms = self._health.stretch(self._settings.heartbeat_ms * live)
        self._next_ms = clock.get_now_ms() + mean_ms * (
            self._shared.random.expovariate(1.0)
        )

    async def _wait_until(self, due_ms: float) -> bool:
        """Waits; returns whether the time has come or a peer task urged."""
        delay_ms = due_ms - clock.get_now_ms()
        try:
            async with asyncio.timeout(max(0.0, delay_ms) / 1000.0):
                await self._woken.wait()
        except TimeoutError:
            return True
        self._woken.clear()
        urged, self._urged = self._urged, False
        return urged

    async def _talk(self, member: members.Member) -> bool:
        """Exchanges heartbeats; returns False when there was no answer."""
        timeout_ms = self._health.scale(self._settings.answer_timeout_ms)
        due_ms = clock.get_now_ms() + timeout_ms
        try:
            await self._shared.talk(
                member.control_address, member.instance, timeout_ms
            )
        except errors.PeerRefusedError:
            self._shared.recorder.record_peer_failure("refused")
        except errors.MembershipError:
            self._shared.recorder.record_peer_failure("silent")
            self._health.record_exchange(is_answered=False)
            return self._health.is_late(due_ms)
        self._health.record_exchange(is_answered=True)
        return True

    async def _doubt(self, member: members.Member) -> None:
        answer_timeout_ms = self._settings.answer_timeout_ms
        allowed_ms = max(
            self._health.scale(answer_timeout_ms), answer_timeout_ms * 2
        )
        due_ms = clock.get_now_ms() + allowed_ms
        others = self._list_helpers()
        helpers = self._pick_helpers(others)
        if others and not helpers:
            return
        reached = await asyncio.gather(
            self._talk(member),
            *(self._ask_to_probe(helper) for helper in helpers),
        )
        if self._health.is_late(due_ms):
            return
        self._health.record_bad()
        if any(reached):
            return
        asked = ", ".join(helper.instance for helper in helpers) or "nobody"
        reason = (
            f"no answer to {self._members.own.instance}; "
            f"asked to probe it: {asked}"
        )
        if self._members.suspect(member.instance, member.incarnation, reason):
            self._shared.note_change(member.instance, "suspected")

    def _list_helpers(self) -> list[members.Member]:
        return [
            one
            for one in self._members.get_live()
            if one.instance != self._instance and not members.is_doubted(one)
        ]

    def _pick_helpers(
        self, others: list[members.Member]
    ) -> list[members.Member]:
        """Picks whom to ask; nobody once the budget is spent."""
        wanted = min(self._settings.indirect_peers, len(others))
        count = self._shared.probe_budget.take(wanted)
        return self._shared.random.sample(others, count)

    async def _ask_to_probe(self, helper: members.Member) -> bool:
        try:
            answer = await self._shared.link.ask(
                helper.control_address,
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
        suspicion_ms = self._health.scale(self._settings.suspicion_ms)
        if not await self._wait_until(since_ms + suspicion_ms / 2):
            return
        if self._is_chosen_to_tell():
            await self._talk(member)
        due_ms = since_ms + suspicion_ms
        if not await self._wait_until(due_ms):
            return
        while self._health.is_late(due_ms):
            due_ms = clock.get_now_ms() + suspicion_ms
            if not await self._wait_until(due_ms):
                return
        if self._members.bury(
            member.instance, member.incarnation, "suspected for too long"
        ):
            self._shared.note_change(member.instance, "died")

    def _is_chosen_to_tell(self) -> bool:
        live = len(self._members.get_live())
        return self._shared.random.random() * live < self._settings.urgent_peers

    async def _await_departure(self, member: members.Member) -> None:
        if not await self._wait_until(clock.get_now_ms() + LEAVING_MS):
            return
        if self._members.bury(member.instance, member.incarnation, "left"):
            self._shared.note_change(member.instance, "left")

    async def _await_return(
        self, member: members.Member, since_ms: float
    ) -> None:
        self._shared.link.forget(member.control_address)
        now_ms = clock.get_now_ms()
        if now_ms - since_ms > self._settings.dead_retention_ms:
            self._members.forget(member.instance)
            return
        dead = sum(1 for one in self._members if members.is_doubted(one))
        retry_ms = self._settings.dead_retry_ms * max(1, dead / DEAD_PER_RETRY)
        spread = 0.5 + self._shared.random.random()
        if await self._wait_until(now_ms + retry_ms * spread):
            await self._talk(member)
