"""Simulation of the control components of daemons in virtual time.

Each daemon runs the product's gossip, exchange with other data centres,
bootstrap through the platform, settings relay and reporter. The network and the
platform are simulated in memory.
"""

import contextlib
import dataclasses
import pathlib
import random
import tempfile
import types
from typing import Self

from kumquatridge.benchmarks import control_network
from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.daemon import settings_plane
from kumquatridge.membership import bootstrap
from kumquatridge.membership import gossip as membership_gossip
from kumquatridge.membership import member as members
from kumquatridge.membership import recorder
from kumquatridge.membership import remote_exchange
from kumquatridge.membership import settings as gossip_settings
from kumquatridge.membership import table
from kumquatridge.peers import control
from kumquatridge.platform import contact_repository
from kumquatridge.standins import platform_store

TREE = '{"children": {"team": {"children": {"bench": {}}}}}'
# Slots and connections that the worker of each daemon announces.
SLOTS = 100
CONNECTIONS = 400
RANDOM_SEED_BITS = 64
MAX_CONTACTS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class SimulationSettings:
    """Number of daemons and their configuration.

    `seeds` is the number of seed addresses of each daemon, all in its own
    data centre. `seed` initialises the random generators. Without `platform`
    the daemons run without a platform.
    """

    daemons: int
    data_centres: int = 1
    services: int = 10
    seeds: int = 1
    platform: bool = True
    seed: int = 1
    faults: control_network.NetworkFaults = control_network.NO_FAULTS


class SimulatedDaemon:
    """Control components of one daemon; they run while its context is open."""

    def __init__(
        self,
        settings: daemon_settings.DaemonSettings,
        service: str,
        network: control_network.ControlNetwork,
        platform: platform_store.PlatformStore | None,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._platform = platform.connect() if platform else None
        self.table = table.MemberTable(_make_member(settings, service))
        self.link = network.connect(settings.control_address)
        no_recorder = recorder.NoRecorder()
        default_settings = gossip_settings.GossipSettings()
        self.gossip = membership_gossip.Gossip(
            default_settings,
            self.table,
            self.link,
            no_recorder,
            rng.getrandbits(RANDOM_SEED_BITS),
        )
        self._remote = remote_exchange.RemoteExchange(
            default_settings,
            self.table,
            self.link,
            no_recorder,
            rng.getrandbits(RANDOM_SEED_BITS),
        )
        self.plane = settings_plane.SettingsPlane(
            settings,
            self.table,
            self._platform,
            rng.getrandbits(RANDOM_SEED_BITS),
        )
        control.add_membership_topics(self.gossip, self.table)
        self.plane.add_topics(self.gossip, self._remote)
        self.link.serve(self.gossip)
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Starts all components and joins through the seeds."""
        enter = self._stack.enter_async_context
        await enter(self.gossip)
        await enter(self._remote)
        self.gossip.join(self._settings.seeds)
        await enter(self.plane)
        if self._platform is not None:
            platform_bootstrap = await enter(
                self._make_bootstrap(self._platform)
            )
            self.plane.set_bootstrap_check(
                lambda: platform_bootstrap.has_completed_round
            )
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops all components."""
        await self._stack.aclose()

    async def crash(self) -> None:
        """Stops the daemon without notifying its peers."""
        self.link.serve(None)
        await self._stack.aclose()

    def may_route_to(self, other: "SimulatedDaemon") -> bool:
        """Returns whether this daemon may route calls to another one."""
        own = other.table.own
        assert own.announcement is not None
        instances = self.table.get_instances(own.announcement.service)
        return any(one.instance == own.instance for one in instances)

    def _make_bootstrap(
        self, platform: platform_store.PlatformConnection
    ) -> bootstrap.Bootstrap:
        return bootstrap.Bootstrap(
            bootstrap.BootstrapSettings(),
            self.table,
            contact_repository.PlatformContactRepository(platform),
            recorder.NoRecorder(),
            self._rng.getrandbits(RANDOM_SEED_BITS),
            join_local=self.gossip.join_once,
            join_remote=self._remote.join,
            needs_contacts=not self._settings.seeds,
        )


class ControlSimulation:
    """All daemons of a simulation and their shared platform."""

    def __init__(
        self,
        settings: SimulationSettings,
        platform: platform_store.PlatformStore,
    ) -> None:
        self.platform = platform
        self._rng = random.Random(settings.seed)
        network = control_network.ControlNetwork(settings.seed, settings.faults)
        self._folder = tempfile.TemporaryDirectory()
        tree_file = pathlib.Path(self._folder.name) / "tree.jsonc"
        tree_file.write_text(TREE)
        self.daemons = [
            SimulatedDaemon(
                make_settings(settings, index, tree_file),
                f"service-{index % settings.services}",
                network,
                platform if settings.platform else None,
                random.Random(self._rng.getrandbits(RANDOM_SEED_BITS)),
            )
            for index in range(settings.daemons)
        ]

    async def __aenter__(self) -> Self:
        """Starts the daemons one after the other, without a pause."""
        for daemon in self.daemons:
            await daemon.__aenter__()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops all daemons."""
        for daemon in self.daemons:
            await daemon.__aexit__(error_type, error, traceback)
        self._folder.cleanup()

    def have_in_force(self, path: str, version: int) -> bool:
        """Returns whether all daemons have received a change.

        The change gave the settings node at `path` this version. A later
        version counts too.
        """
        return all(
            one.plane.store.get_versions().get(path, 0) >= version
            for one in self.daemons
        )

    def have_all_joined(self) -> bool:
        """Returns whether each daemon knows all members of its data centre."""
        sizes: dict[str, int] = {}
        for daemon in self.daemons:
            name = daemon.table.own.data_centre
            sizes[name] = sizes.get(name, 0) + 1
        return all(
            len(one.table.get_live()) + 1 == sizes[one.table.own.data_centre]
            for one in self.daemons
        )


async def write_contacts(
    settings: SimulationSettings, platform: platform_store.PlatformStore
) -> None:
    """Stores contacts as the daemons would have before a restart.

    Contacts are the control addresses of a few members of a data centre, which
    `membership.bootstrap` keeps in the platform.
    """
    contacts = contact_repository.PlatformContactRepository(platform.connect())
    for centre_index in range(settings.data_centres):
        count = min(MAX_CONTACTS, settings.daemons // settings.data_centres)
        names = (
            _make_instance_name(settings, centre_index, number)
            for number in range(count)
        )
        await contacts.write(
            _make_data_centre_name(centre_index),
            bootstrap.Contacts(tuple(names), bootstrap.NOT_STORED),
        )


def _make_data_centre_name(centre_index: int) -> str:
    return f"centre-{centre_index:02}"


def _make_instance_name(
    settings: SimulationSettings, centre_index: int, number: int
) -> str:
    return f"instance-{centre_index + number * settings.data_centres:04}"


def make_settings(
    simulation: SimulationSettings, index: int, tree_file: pathlib.Path
) -> daemon_settings.DaemonSettings:
    """Returns settings of one daemon; its control address is its name."""
    centre_index = index % simulation.data_centres
    seeds = tuple(
        _make_instance_name(simulation, centre_index, number)
        for number in range(simulation.seeds)
    )
    name = f"instance-{index:04}"
    return daemon_settings.DaemonSettings(
        instance=name,
        data_centre=_make_data_centre_name(centre_index),
        caller_address=name,
        call_address=f"10.0.{index // 250}.{index % 250}:7402",
        control_address=name,
        operator_address=name,
        peer_key="benchmark",
        tree_file=str(tree_file),
        seeds=seeds,
    )


def _make_member(
    settings: daemon_settings.DaemonSettings, service: str
) -> members.Member:
    return members.Member(
        settings.instance,
        1,
        settings.data_centre,
        settings.call_address,
        settings.control_address,
        members.Announcement(
            service, settings.caller_address, SLOTS, CONNECTIONS
        ),
    )
