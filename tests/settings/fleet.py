"""Daemons of a data centre in one event loop, with in-memory links."""

import asyncio
import collections
from collections.abc import Iterable
import contextlib
import random
import types
from typing import Self

from kumquatridge.membership import member as members
from kumquatridge.membership import relays
from kumquatridge.membership import topics
from kumquatridge.platform import repository as platform_repository
from kumquatridge.settings import instances
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import relay
from kumquatridge.settings import reporter
from kumquatridge.settings import store as settings_store
from kumquatridge.standins import platform_store
from kumquatridge.telemetry import settings_counts
from tests.settings import fixtures

DATA_CENTRE = "landshut"
# Sent messages that are kept; one of them is delivered again with each pull.
MAX_DELAYED_MESSAGES = 100


def make_member(instance: str) -> members.Member:
    """Returns an alive member with incarnation 1 and no addresses."""
    return members.Member(instance, 1, DATA_CENTRE, "", "", None)


class FleetDaemon:
    """The settings parts of a daemon, gossiping with its peers in memory.

    It is its own `relay.RelayRole` and `reporter.ReporterRole`.
    """

    def __init__(
        self,
        fleet: "Fleet",
        instance: str,
        platform: platform_store.PlatformStore,
    ) -> None:
        self._fleet = fleet
        self.instance = instance
        self.counts = settings_counts.SettingsCounts()
        self.store = fixtures.make_store(counts=self.counts)
        self.table = instances.InstanceTable(instance, self.store)
        # The connection of this daemon; its `cut` cuts off only this daemon.
        self.connection = platform.connect()
        self.rng = random.Random(f"{fleet.seed} {instance}")
        self._stack = contextlib.AsyncExitStack()
        self._gossip: asyncio.Task[None] | None = None
        # By peer: the revisions of this daemon and of the peer at the last
        # pull. While they stay the same, another pull would change nothing.
        self._pulled_revisions: dict[str, object] = {}

    async def __aenter__(self) -> Self:
        """Starts relay, reporter and gossip."""
        settings_repository = platform_repository.PlatformRepository(
            self.connection
        )
        await self._stack.enter_async_context(
            relay.SettingsRelay(
                relay.RelaySettings(self.instance, DATA_CENTRE),
                node_repository=settings_repository,
                store=self.store,
                role=self,
                recorder=self.counts,
                rng=self.rng,
            )
        )
        await self._stack.enter_async_context(
            reporter.InForceReporter(
                reporter.ReporterSettings(self.instance, DATA_CENTRE),
                reports=settings_repository,
                store=self.store,
                table=self.table,
                role=self,
                recorder=self.counts,
                rng=self.rng,
            )
        )
        self._gossip = asyncio.create_task(self._run_gossip())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops gossip, reporter and relay."""
        if self._gossip is not None:
            self._gossip.cancel()
            await asyncio.gather(self._gossip, return_exceptions=True)
        await self._stack.aclose()

    def is_relay(self) -> bool:
        """Returns whether this daemon watches the platform."""
        return self._is_selected_as_relay(relays.RELAY_COUNT)

    def is_alone(self) -> bool:
        """Returns False: a fleet has no phase of first contact."""
        return False

    def is_reporter(self) -> bool:
        """Returns whether this daemon reports."""
        return self._is_selected_as_relay(1)

    def list_instances(self) -> Iterable[str]:
        """Returns the other daemons that this one can reach."""
        return [peer.instance for peer in self._fleet.list_peers(self)]

    def _is_selected_as_relay(self, count: int) -> bool:
        known = [make_member(instance) for instance in self.list_instances()]
        own = make_member(self.instance)
        return relays.is_relay(own, [own, *known], count)

    async def _run_gossip(self) -> None:
        while True:
            interval_s = self._fleet.gossip_interval_s
            await asyncio.sleep(interval_s * self.rng.uniform(0.5, 1.5))
            peers = self._fleet.list_peers(self)
            if peers:
                self._pull(self.rng.choice(peers))

    def _pull(self, peer: "FleetDaemon") -> None:
        current_revisions = (self.revisions, peer.revisions)
        if self._pulled_revisions.get(peer.instance) == current_revisions:
            return
        pull(self.store, peer.store)
        pull(self.table, peer.table)
        self._pulled_revisions[peer.instance] = current_revisions
        self._merge_delayed_message(peer)

    def _merge_delayed_message(self, peer: "FleetDaemon") -> None:
        """Records a peer's message, then merges a random recorded one.

        It may be an old message, a repeated one, or one of another daemon.
        """
        delayed_messages = self._fleet.delayed_messages
        delayed_messages.append(peer.store.export(peer.store.get_versions()))
        self.store.merge(self.rng.choice(delayed_messages))

    @property
    def revisions(self) -> tuple[int, int]:
        """The revisions of store and table; they change with each update."""
        return self.store.revision, self.table.revision


def pull(
    receiver: topics.GossipSource[topics.EntryT],
    sender: topics.GossipSource[topics.EntryT],
) -> None:
    """Merges the sender's entries that are newer than the receiver's."""
    known = receiver.get_versions()
    newer = [
        key
        for key, version in sender.get_versions().items()
        if version > known.get(key, 0)
    ]
    receiver.merge(sender.export(newer))


class Fleet:
    """The daemons of a data centre, in one partition or two.

    The daemons named in `cut_off` reach only each other, and the remaining
    daemons reach only each other. A daemon pulls from a random peer every
    `gossip_interval_s` on average.
    """

    def __init__(
        self,
        platform: platform_store.PlatformStore,
        count: int,
        seed: int,
        gossip_interval_s: float = 0.1,
    ) -> None:
        self.seed = seed
        self.gossip_interval_s = gossip_interval_s
        self.platform = platform
        self.cut_off: set[str] = set()
        self.delayed_messages: collections.deque[
            tuple[settings_record.NodeRecord, ...]
        ] = collections.deque(maxlen=MAX_DELAYED_MESSAGES)
        self.daemons = {
            name: FleetDaemon(self, name, platform)
            for name in (f"planning-{number}" for number in range(count))
        }

    async def __aenter__(self) -> Self:
        """Starts all daemons."""
        for daemon in self.daemons.values():
            await daemon.__aenter__()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops all daemons."""
        for daemon in self.daemons.values():
            await daemon.__aexit__(error_type, error, traceback)

    def list_peers(self, daemon: FleetDaemon) -> list[FleetDaemon]:
        """Returns the other daemons in the same partition."""
        is_cut_off = daemon.instance in self.cut_off
        return [
            peer
            for peer in self.daemons.values()
            if peer is not daemon
            and (peer.instance in self.cut_off) == is_cut_off
        ]

    async def restart(self, instance: str) -> None:
        """Replaces a daemon by one that has only its settings file."""
        await self.daemons[instance].__aexit__(None, None, None)
        daemon = FleetDaemon(self, instance, self.platform)
        self.daemons[instance] = daemon
        await daemon.__aenter__()

    async def wait_until_in_force(
        self, record: settings_record.NodeRecord
    ) -> None:
        """Waits until every daemon has a version of a node, or a newer one."""
        for daemon in self.daemons.values():
            while not has_version(daemon.store, record):
                await daemon.store.changes.wait()


def has_version(
    store: settings_store.NodeStore, record: settings_record.NodeRecord
) -> bool:
    """Returns whether a store has a version of a node, or a newer one."""
    return store.get_versions().get(record.path, 0) >= record.version
