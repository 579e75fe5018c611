"""One daemon process of the key world, with the real decisions."""

import asyncio
from collections.abc import Iterator
import contextlib
from typing import TYPE_CHECKING

from kumquatridge import clock
from kumquatridge.benchmarks import key_calls
from kumquatridge.benchmarks import key_links
from kumquatridge.callpath import at_most_once
from kumquatridge.callpath import home_resolver
from kumquatridge.idempotency import handover
from kumquatridge.idempotency import keys
from kumquatridge.idempotency import memory as key_memory
from kumquatridge.idempotency import roster as home_roster
from kumquatridge.idempotency import stalls
from kumquatridge.membership import table

if TYPE_CHECKING:
    from kumquatridge.benchmarks import key_world

SECRET = "secret"


class Process:
    """One daemon process with its worker; a restart makes another."""

    def __init__(
        self, world: "key_world.World", instance: str, number: int
    ) -> None:
        self.instance = instance
        self.running = asyncio.Event()
        self.running.set()
        self._paused_ms = 0.0
        self._resumed_ms = float("-inf")
        self._lost_ms = 0.0
        self.visits: set[asyncio.Task[object]] = set()
        own = keys.HomeId(instance, f"boot-{number}")
        self.issuer = keys.KeyIssuer(own, SECRET)
        self.roster = home_roster.HomeRoster(
            key_calls.SETTINGS, instance, number
        )
        self.members = table.MemberTable(key_calls.make_member(instance))
        memory = key_memory.KeyMemory(key_calls.SETTINGS)
        handed = handover.HandedKeys(key_calls.SETTINGS)
        self.exchange = handover.HomeExchange(self.roster, memory, handed)
        worker = key_links.OwnWorker(world, self)
        self.naive = key_links.NaivePath(worker)
        self.path = at_most_once.AtMostOncePath(
            self.members,
            worker,
            key_links.Others(),
            key_links.PeerFake(world, self),
            world.recorder,
            resolver=home_resolver.HomeResolver(
                key_calls.SETTINGS,
                own,
                self.issuer,
                self.roster,
                self.members,
                stalls=self,
                handed=handed,
            ),
            memory=memory,
        )

    def pause(self) -> None:
        """Stops the process until it is resumed."""
        if self.running.is_set():
            self.running.clear()
            self._paused_ms = clock.get_now_ms()

    def resume(self) -> None:
        """Lets a paused process go on."""
        if not self.running.is_set():
            self._resumed_ms = clock.get_now_ms()
            self._lost_ms = self._resumed_ms - self._paused_ms
            self.running.set()

    def get_lost_ms(self) -> float:
        """Returns the length of a pause that ended just now, or 0."""
        is_recent = clock.get_now_ms() - self._resumed_ms < stalls.RECENT_MS
        return self._lost_ms if is_recent else 0.0

    @contextlib.contextmanager
    def visit(self) -> Iterator[None]:
        """Has the running task cancelled when the process is killed."""
        task = asyncio.current_task()
        assert task is not None
        self.visits.add(task)
        try:
            yield
        finally:
            self.visits.discard(task)
