"""A daemon process in the simulation of idempotency keys."""

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
from kumquatridge.idempotency import home_registry
from kumquatridge.idempotency import key_table as key_tables
from kumquatridge.idempotency import keys
from kumquatridge.idempotency import stalls
from kumquatridge.membership import table

if TYPE_CHECKING:
    from kumquatridge.benchmarks import key_simulation

SECRET = "secret"


class Process:
    """A daemon process with its worker; a restart creates a new one.

    It takes the at-most-once decisions of the product. While `running` is not
    set, the process is paused.
    """

    def __init__(
        self,
        simulation: "key_simulation.KeySimulation",
        instance: str,
        number: int,
    ) -> None:
        self.instance = instance
        self.running = asyncio.Event()
        self.running.set()
        self._paused_at_ms = 0.0
        self._resumed_at_ms = float("-inf")
        self._last_pause_ms = 0.0
        self.running_tasks: set[asyncio.Task[object]] = set()
        own = keys.HomeId(instance, f"boot-{number}")
        self.issuer = keys.KeyIssuer(own, SECRET)
        self.home_registry = home_registry.HomeRegistry(
            key_calls.SETTINGS, instance, number
        )
        self.members = table.MemberTable(key_calls.make_member(instance))
        key_table = key_tables.KeyTable(key_calls.SETTINGS)
        handed_over = handover.HandedOverKeys(key_calls.SETTINGS)
        self.exchange = handover.HomeExchange(
            self.home_registry, key_table, handed_over
        )
        worker = key_links.SimulatedWorker(simulation, self)
        self.naive_path = key_links.NaivePath(worker)
        self.path = at_most_once.AtMostOncePath(
            self.members,
            worker,
            key_links.NoOtherInstances(),
            key_links.SimulatedPeerLink(simulation, self),
            simulation.recorder,
            resolver=home_resolver.HomeResolver(
                key_calls.SETTINGS,
                own,
                self.issuer,
                self.home_registry,
                self.members,
                stalls=self,
                handed_over_keys=handed_over,
            ),
            key_table=key_table,
        )

    def pause(self) -> None:
        """Suspends the process until it is resumed."""
        if self.running.is_set():
            self.running.clear()
            self._paused_at_ms = clock.get_now_ms()

    def resume(self) -> None:
        """Resumes a paused process."""
        if not self.running.is_set():
            self._resumed_at_ms = clock.get_now_ms()
            self._last_pause_ms = self._resumed_at_ms - self._paused_at_ms
            self.running.set()

    def get_stall_ms(self) -> float:
        """Returns the length of a recent pause in milliseconds, or 0."""
        is_recent = (
            clock.get_now_ms() - self._resumed_at_ms < stalls.STALL_MEMORY_MS
        )
        return self._last_pause_ms if is_recent else 0.0

    @contextlib.contextmanager
    def track_task(self) -> Iterator[None]:
        """Registers the current task, which is cancelled by a stop."""
        task = asyncio.current_task()
        assert task is not None
        self.running_tasks.add(task)
        try:
            yield
        finally:
            self.running_tasks.discard(task)
