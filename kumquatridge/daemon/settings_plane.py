"""Keeps a daemon's settings up to date from the platform and from peers.

The relays of a data centre read changes from the platform; the other daemons
receive them by gossip. One daemon reports to the platform which versions are in
force in the data centre.
"""

import asyncio
from collections.abc import Callable
import contextlib
import pathlib
import random
import types
from typing import Self

from kumquatridge.callpath import call_builder
from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.encoding import settings_text
from kumquatridge.membership import gossip as membership_gossip
from kumquatridge.membership import relays
from kumquatridge.membership import remote_exchange
from kumquatridge.membership import table as member_table
from kumquatridge.membership import topics
from kumquatridge.peers import topic_codec
from kumquatridge.platform import client as platform_client
from kumquatridge.platform import objects
from kumquatridge.platform import repository as platform_repository
from kumquatridge.settings import credentials
from kumquatridge.settings import instances
from kumquatridge.settings import platform_reach
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import relay
from kumquatridge.settings import reporter
from kumquatridge.settings import store as settings_store
from kumquatridge.telemetry import events
from kumquatridge.telemetry import metric_specs
from kumquatridge.telemetry import metrics
from kumquatridge.telemetry import settings_counts

# A daemon that still has its settings only from the file after this time logs
# an event.
FROM_FILE_LOG_DELAY_S = 10.0
# Hashed with the name of an instance to select the relays of settings; see
# `membership.relays`.
RELAY_PURPOSE = "settings"
RANDOM_SEED_BITS = 64


class PlatformRole:
    """Decides whether this daemon calls the platform for its data centre.

    Implements `relay.RelayRole` and `reporter.ReporterRole` for the live
    members of a member table.
    """

    def __init__(self, table: member_table.MemberTable) -> None:
        self._table = table
        self._is_bootstrap_done: Callable[[], bool] = lambda: False

    def is_relay(self) -> bool:
        """Returns whether this daemon watches the platform for changes."""
        own = self._table.own
        return relays.is_relay(own, self._table, purpose=RELAY_PURPOSE)

    def set_bootstrap_check(
        self, is_bootstrap_done: Callable[[], bool]
    ) -> None:
        """Sets the check whether bootstrap has contacted the platform.

        Until it is set, a daemon without live peers counts as alone.
        """
        self._is_bootstrap_done = is_bootstrap_done

    def is_alone(self) -> bool:
        """Returns whether no live peer is known and bootstrap is not done."""
        return not self._table.get_live() and not self._is_bootstrap_done()

    def is_reporter(self) -> bool:
        """Returns whether this daemon reports settings for its data centre.

        Only one of the relays does.
        """
        own = self._table.own
        return relays.is_relay(own, self._table, 1, RELAY_PURPOSE)

    def list_instances(self) -> tuple[str, ...]:
        """Returns the instances of the data centre's other live members."""
        return tuple(member.instance for member in self._table.get_live())


class SettingsPlane:
    """Owns the daemon's settings and updates them while its context is open.

    `store` has the nodes of the settings tree, and `instance_table` the
    versions that each instance has in force. Both are replicated to the other
    daemons of the data centre by gossip.
    """

    def __init__(
        self,
        settings: daemon_settings.DaemonSettings,
        members_table: member_table.MemberTable,
        platform: objects.ObjectApi | None = None,
        seed: int | None = None,
    ) -> None:
        """Reads the settings tree from its file.

        `platform`, if given, is used instead of a client for the address in the
        settings. `seed` makes the jitter of its calls repeatable.

        Raises:
          SettingsError: the file can't be read or holds no valid tree.
        """
        self._settings = settings
        tree = settings_text.read_tree(pathlib.Path(settings.tree_file))
        self._counts = settings_counts.SettingsCounts()
        self.store = settings_store.NodeStore(
            settings_store.StoreSettings(
                tuple(tree.nodes.values()),
                settings_text.read_defaults(),
                credentials.RecordVerifier(settings.settings_key),
            ),
            self._counts,
        )
        self.instance_table = instances.InstanceTable(
            settings.instance, self.store
        )
        self._role = PlatformRole(members_table)
        self._random = random.Random(seed)
        self._stack = contextlib.AsyncExitStack()
        self._log_task: asyncio.Task[None] | None = None
        self.platform = platform

    def attach(self, builder: call_builder.CallBuilder) -> None:
        """Passes the policies of every new version to the call builder."""
        self.store.subscribe(lambda: builder.set_policies(self.store.policies))

    def set_bootstrap_check(
        self, is_bootstrap_done: Callable[[], bool]
    ) -> None:
        """Sets the check whether bootstrap has contacted the platform.

        Until it has, a daemon without live peers does not become a relay, for
        about `relay.RelaySettings.first_contact_timeout_s` at most.
        """
        self._role.set_bootstrap_check(is_bootstrap_done)

    def add_topics(
        self,
        gossip: membership_gossip.Gossip,
        remote: remote_exchange.RemoteExchange,
    ) -> None:
        """Registers settings and versions in force for exchange by gossip.

        The records of settings are also exchanged with other data centres.
        """
        records = topic_codec.make_topic(
            topics.SETTINGS, self.store, settings_record.NodeRecord
        )
        gossip.add_topic(records)
        remote.add_topic(records)
        gossip.add_topic(
            topic_codec.make_topic(
                topics.IN_FORCE, self.instance_table, instances.InstanceVersions
            )
        )
        self.store.subscribe(gossip.notify_peers)

    def add_metrics(self, exporter: metrics.MetricExporter) -> None:
        """Registers the counters and gauges of the settings."""
        self._counts.expose(exporter)
        exporter.add_gauge(
            metric_specs.SETTINGS_NODES, lambda: len(self.store.get_versions())
        )
        exporter.add_gauge(
            metric_specs.SETTINGS_VERSION,
            lambda: sum(self.store.get_versions().values()),
        )
        exporter.add_gauge(
            metric_specs.SETTINGS_ORIGIN,
            lambda: settings_store.get_origin_gauge_value(self.store.origin),
        )

    async def __aenter__(self) -> Self:
        """Starts to read changes from the platform, if one is configured."""
        self._log_task = asyncio.create_task(self._log_if_from_file())
        address = self._settings.platform_address
        if self.platform is None and address is not None:
            self.platform = await self._open_client(address)
        if self.platform is not None:
            await self._start_relay_and_reporter(self.platform)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops the background tasks and closes the platform client."""
        if self._log_task is not None:
            self._log_task.cancel()
        await self._stack.aclose()

    async def _log_if_from_file(self) -> None:
        await asyncio.sleep(FROM_FILE_LOG_DELAY_S)
        match self.store.origin:
            case settings_store.FromFile():
                events.log(events.SettingsFromFile(self._settings.tree_file))
            case settings_store.Partial() | settings_store.Complete():
                pass

    async def _open_client(self, address: str) -> objects.ObjectApi:
        return await self._stack.enter_async_context(
            platform_client.PlatformClient(
                platform_client.ClientSettings(
                    address, self._settings.platform_token
                )
            )
        )

    async def _start_relay_and_reporter(
        self, platform: objects.ObjectApi
    ) -> None:
        settings = self._settings
        enter_context = self._stack.enter_async_context
        settings_repository = platform_repository.PlatformRepository(platform)
        await enter_context(
            relay.SettingsRelay(
                relay.RelaySettings(settings.instance, settings.data_centre),
                node_repository=settings_repository,
                store=self.store,
                role=self._role,
                recorder=self._counts,
                rng=random.Random(self._random.getrandbits(RANDOM_SEED_BITS)),
                reach=platform_reach.ReachObserver(
                    self.instance_table.set_platform_reach
                ),
            )
        )
        await enter_context(
            reporter.InForceReporter(
                reporter.ReporterSettings(
                    settings.instance, settings.data_centre
                ),
                reports=settings_repository,
                store=self.store,
                table=self.instance_table,
                role=self._role,
                recorder=self._counts,
                rng=random.Random(self._random.getrandbits(RANDOM_SEED_BITS)),
            )
        )
