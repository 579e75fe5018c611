"""Distributes the settings of the fleet to the daemon's call builder."""

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

FROM_FILE_LOG_DELAY_S = 10.0
RELAY_PURPOSE = "settings"


class MembershipRole:
    """Selects which live members call the platform."""

    def __init__(self, table: member_table.MemberTable) -> None:
        self._table = table
        self._is_contact_over: Callable[[], bool] = lambda: False

    def is_relay(self) -> bool:
        """Tells whether this daemon watches the platform."""
        own = self._table.own
        return relays.is_relay(own, self._table, purpose=RELAY_PURPOSE)

    def set_contact_check(self, is_over: Callable[[], bool]) -> None:
        """Registers the check whether first contact is over; see `is_alone`."""
        self._is_contact_over = is_over

    def is_alone(self) -> bool:
        """Tells whether first contact is pending and no live peer known."""
        return not self._table.get_live() and not self._is_contact_over()

    def is_reporter(self) -> bool:
        """Tells whether this daemon reports settings for its data centre."""
        own = self._table.own
        return relays.is_relay(own, self._table, 1, RELAY_PURPOSE)

    def list_instances(self) -> tuple[str, ...]:
        """Returns the other live members of the data centre."""
        return tuple(member.instance for member in self._table.get_live())


class SettingsPlane:
    """Owns the daemon's settings and updates them while its context is open.

    `store` and `table` are replicated to the other daemons of the data
    centre by gossip.
    """

    def __init__(
        self,
        settings: daemon_settings.DaemonSettings,
        members_table: member_table.MemberTable,
        platform: objects.ObjectApi | None = None,
    ) -> None:
        """Reads the settings file.

        `platform`, if given, is used instead of the address in the settings.

        Raises:
          SettingsError: the file holds no valid tree.
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
        self.table = instances.InstanceTable(settings.instance, self.store)
        self._role = MembershipRole(members_table)
        self._stack = contextlib.AsyncExitStack()
        self._log_task: asyncio.Task[None] | None = None
        self.platform = platform

    def attach(self, builder: call_builder.CallBuilder) -> None:
        """Passes the policies of every new version to the call builder."""
        self.store.on_applied(lambda: builder.set_policies(self.store.policies))

    def set_contact_check(self, is_over: Callable[[], bool]) -> None:
        """Delays calls to the platform until first contact is over."""
        self._role.set_contact_check(is_over)

    def add_topics(
        self,
        gossip: membership_gossip.Gossip,
        remote: remote_exchange.RemoteExchange,
    ) -> None:
        """Exchanges settings by gossip, records also between data centres."""
        records = topic_codec.make_topic(
            topics.SETTINGS, self.store, settings_record.NodeRecord
        )
        gossip.add_topic(records)
        remote.add_topic(records)
        gossip.add_topic(
            topic_codec.make_topic(
                topics.IN_FORCE, self.table, instances.InstanceVersions
            )
        )
        self.store.on_applied(gossip.notify_peers)

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
            lambda: settings_store.rank_origin(self.store.origin),
        )

    async def __aenter__(self) -> Self:
        """Starts to read changes from the platform, if one is configured."""
        self._log_task = asyncio.create_task(self._log_if_from_file())
        address = self._settings.platform_address
        if self.platform is None and address is not None:
            self.platform = await self._open_client(address)
        if self.platform is not None:
            await self._follow(self.platform)
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

    async def _follow(self, platform: objects.ObjectApi) -> None:
        settings = self._settings
        enter_context = self._stack.enter_async_context
        nodes = platform_repository.PlatformRepository(platform)
        await enter_context(
            relay.SettingsRelay(
                relay.RelaySettings(settings.instance, settings.data_centre),
                nodes=nodes,
                store=self.store,
                role=self._role,
                recorder=self._counts,
                rng=random.Random(),
                reach=platform_reach.ReachObserver(
                    self.table.set_platform_reach
                ),
            )
        )
        await enter_context(
            reporter.InForceReporter(
                reporter.ReporterSettings(
                    settings.instance, settings.data_centre
                ),
                reports=nodes,
                store=self.store,
                table=self.table,
                role=self._role,
                recorder=self._counts,
                rng=random.Random(),
            )
        )
