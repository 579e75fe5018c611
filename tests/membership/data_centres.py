"""Simulated data centres with a platform, in memory and virtual time.

Membership, summaries, settings, first contact and load balancing are the real
code; the platform, the network and the workers are stand-ins in memory.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import itertools
import random

from kumquatridge import clock
from kumquatridge.admission import controller as admission_controller
from kumquatridge.callpath import inbound
from kumquatridge.callpath import links
from kumquatridge.callpath import outbound
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.chain import inbound_calls
from kumquatridge.chain import retry_budget
from kumquatridge.daemon import settings_plane
from kumquatridge.membership import bootstrap
from kumquatridge.membership import member as members
from kumquatridge.membership import recorder
from kumquatridge.membership import settings as gossip_settings
from kumquatridge.membership import topics
from kumquatridge.peers import topic_codec
from kumquatridge.platform import contact_repository
from kumquatridge.platform import repository as platform_repository
from kumquatridge.quarantine import crash_registry
from kumquatridge.routing import chooser as routing
from kumquatridge.settings import instances
from kumquatridge.settings import platform_reach
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import relay
from kumquatridge.settings import reporter
from kumquatridge.standins import platform_store
from kumquatridge.telemetry import settings_counts
from tests import calls_factory
from tests.callpath import graph
from tests.membership import fleet
from tests.settings import fixtures

SEEDS_PER_DATA_CENTRE = 2
# Time that a worker takes for a call, and calls that it runs at once.
SERVICE_S = 0.2
SLOTS = 10
POLICY = dataclasses.replace(
    calls_factory.POLICY, service=fleet.SERVICE, idempotent=False
)


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """A data centre, its daemons, and those that a test may add (`late`)."""

    name: str
    daemons: tuple[str, ...]
    late: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Delivery:
    """A call that was sent to an instance, or that its worker started.

    `root_id` is that of the call's chain. `at_ms` is when the call was sent or
    started, `expires_at_ms` its deadline, both on the virtual clock.
    """

    instance: str
    root_id: str
    at_ms: float
    expires_at_ms: float


class Worker(links.WorkerLink):
    """Answers every call after `SERVICE_S`."""

    def __init__(self, simulation: "Simulation", instance: str) -> None:
        self._simulation = simulation
        self._instance = instance

    @contextlib.asynccontextmanager
    async def send(
        self, call: calls.Call, address: str, token: str
    ) -> AsyncIterator[outcomes.Outcome]:
        """Runs a call."""
        self._simulation.started.append(make_delivery(self._instance, call))
        await asyncio.sleep(SERVICE_S)
        yield outcomes.Completed(200, (), call_body.EMPTY)


class CallLink(links.PeerLink):
    """Sends calls of one daemon to the others, unless stopped or cut off."""

    def __init__(self, simulation: "Simulation", sender: str) -> None:
        self._simulation = simulation
        self._sender = sender

    @contextlib.asynccontextmanager
    async def send(
        self, call: calls.Call, member: members.Member
    ) -> AsyncIterator[outcomes.Outcome]:
        """Sends a call to the daemon of a member."""
        simulation = self._simulation
        name = member.instance
        simulation.sent.append(make_delivery(name, call))
        is_cut = frozenset((self._sender, name)) in simulation.network.cut
        if is_cut or name not in simulation.network.handlers:
            unreachable = refusals.Unreachable(name)
            yield outcomes.NotRun(unreachable, call.chain.retry_allowance)
            return
        running = simulation.network.running[name]
        await running.wait()
        async with simulation.daemons[name].inbound.serve(call) as outcome:
            await running.wait()
            yield outcome

    def send_to_home(
        self, call: calls.Call, member: members.Member
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call to the daemon of a member."""
        return self.send(call, member)


def make_delivery(instance: str, call: calls.Call) -> Delivery:
    """Returns the delivery of a call to an instance at the present time."""
    chain = call.chain
    now_ms = clock.get_now_ms()
    return Delivery(instance, chain.root_id, now_ms, chain.expires_at_ms)


class Daemon:
    """A daemon from one start to its crash, with an incarnation of its own.

    `node` is its control plane, `versions` the settings versions that are in
    force at the instances, and `connection` is that to the platform.
    """

    def __init__(self, simulation: "Simulation", site: Site, name: str) -> None:
        self.name = name
        self.data_centre = site.name
        self._simulation = simulation
        self.node = fleet.Node(
            simulation.network,
            name,
            next(simulation.incarnations),
            site.name,
            simulation.gossip_rates,
        )
        self.store = fixtures.make_store()
        self.versions = instances.InstanceTable(name, self.store)
        self.connection = simulation.platform.connect()
        self._random = random.Random(f"{simulation.seed} {name}")
        self._stack = contextlib.AsyncExitStack()
        self._add_topics()
        self.controller = admission_controller.AdmissionController(SLOTS)
        self.inbound = self._make_inbound()
        self._outbound = self._make_outbound()

    async def start(self, site: Site) -> None:
        """Starts the node and the background tasks of the daemon."""
        await self.node.start(
            site.daemons[:SEEDS_PER_DATA_CENTRE],
            self._simulation.list_remote_seeds(site),
        )
        for owner in self._make_owners():
            await self._stack.enter_async_context(owner)

    async def crash(self) -> None:
        """Stops the daemon without notifying its peers."""
        await self._stack.aclose()
        await self.node.crash()

    async def call(self, root_id: str = "root") -> outcomes.Outcome:
        """Sends a call to some instance of the service."""
        call = calls_factory.make_call(policy=POLICY, root_id=root_id)
        async with self._outbound.dispatch(call) as outcome:
            return outcome

    def _add_topics(self) -> None:
        records = topic_codec.make_topic(
            topics.SETTINGS, self.store, settings_record.NodeRecord
        )
        versions = topic_codec.make_topic(
            topics.IN_FORCE, self.versions, instances.InstanceVersions
        )
        self.node.gossip.add_topic(records)
        self.node.gossip.add_topic(versions)
        self.node.remote.add_topic(records)
        self.store.subscribe(self.node.gossip.notify_peers)

    def _make_inbound(self) -> inbound.InboundPath:
        return inbound.InboundPath(
            self.node.table,
            self.controller,
            inbound_calls.InboundCallRegistry(),
            Worker(self._simulation, self.name),
            graph.CountingRecorder(),
            crashes=crash_registry.CrashRegistry(
                crash_registry.QuarantineSettings(), self.name, lambda: None
            ),
        )

    def _make_outbound(self) -> outbound.OutboundPath:
        chooser = routing.InstanceChooser(
            self.node.table, self._random.getrandbits(32)
        )
        return outbound.OutboundPath(
            self.node.table,
            chooser,
            self.inbound,
            CallLink(self._simulation, self.name),
            graph.CountingRecorder(),
            retry_budgets=retry_budget.RetryBudgets(
                retry_budget.RetryBudgetSettings()
            ),
        )

    def _make_owners(
        self,
    ) -> tuple[
        relay.SettingsRelay, reporter.InForceReporter, bootstrap.Bootstrap
    ]:
        settings_repository = platform_repository.PlatformRepository(
            self.connection
        )
        role = settings_plane.PlatformRole(self.node.table)
        counts = settings_counts.SettingsCounts()
        return (
            relay.SettingsRelay(
                relay.RelaySettings(self.name, self.data_centre),
                node_repository=settings_repository,
                store=self.store,
                role=role,
                recorder=counts,
                rng=self._random,
                reach=platform_reach.ReachObserver(
                    self.versions.set_platform_reach
                ),
            ),
            reporter.InForceReporter(
                reporter.ReporterSettings(self.name, self.data_centre),
                reports=settings_repository,
                store=self.store,
                table=self.versions,
                role=role,
                recorder=counts,
                rng=self._random,
            ),
            bootstrap.Bootstrap(
                bootstrap.BootstrapSettings(),
                self.node.table,
                contact_repository.PlatformContactRepository(self.connection),
                recorder.NoRecorder(),
                self._random.getrandbits(32),
                join_local=self.node.gossip.join_once,
                join_remote=self.node.remote.join,
            ),
        )


class Simulation:
    """All data centres and the platform; the first data centre can be cut off.

    `sent` are the calls that daemons sent to each other, `started` those that a
    worker started.
    """

    def __init__(
        self,
        sites: tuple[Site, ...],
        seed: int,
        gossip_rates: gossip_settings.GossipSettings,
    ) -> None:
        self.seed = seed
        self.sites = sites
        self.gossip_rates = gossip_rates
        self.sent: list[Delivery] = []
        self.started: list[Delivery] = []
        self.network = fleet.Network(seed)
        self.platform = platform_store.PlatformStore()
        self.platform.set_faults(platform_store.PlatformFaults(delay_ms=5))
        # The next incarnation; each start of a daemon takes one.
        self.incarnations = itertools.count(1)
        self.daemons: dict[str, Daemon] = {}
        self._platform_cut = False

    async def start(self) -> None:
        """Starts all daemons."""
        for site in self.sites:
            for name in site.daemons:
                await self.start_daemon(site, name)

    async def stop(self) -> None:
        """Stops all daemons."""
        for daemon in self.daemons.values():
            await daemon.crash()

    async def start_daemon(self, site: Site, name: str) -> None:
        """Starts a daemon with a new incarnation."""
        daemon = Daemon(self, site, name)
        daemon.connection.cut = self._platform_cut and site == self.sites[0]
        self.daemons[name] = daemon
        await daemon.start(site)

    async def restart(self, site: Site, name: str) -> None:
        """Crashes a daemon and starts it again with only its settings file."""
        await self.daemons[name].crash()
        await self.start_daemon(site, name)

    def list_daemons(self, site: Site) -> list[Daemon]:
        """Returns the daemons of a data centre."""
        return [
            daemon
            for daemon in self.daemons.values()
            if daemon.data_centre == site.name
        ]

    def list_remote_seeds(self, site: Site) -> tuple[str, ...]:
        """Returns one seed in each other data centre."""
        return tuple(
            remote_site.daemons[0]
            for remote_site in self.sites
            if remote_site.name != site.name
        )

    def cut_platform(self, cut: bool) -> None:
        """Cuts the first data centre off from the platform or reconnects it."""
        self._platform_cut = cut
        for daemon in self.list_daemons(self.sites[0]):
            daemon.connection.cut = cut

    def cut_others(self, cut: bool) -> None:
        """Cuts the first data centre off from the others, or reconnects it."""
        self.network.cut.clear()
        if cut:
            cut_site, *other_sites = self.sites
            self.network.cut_between(
                cut_site.daemons + cut_site.late,
                [
                    name
                    for site in other_sites
                    for name in site.daemons + site.late
                ],
            )
