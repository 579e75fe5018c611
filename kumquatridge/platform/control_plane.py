"""State that a daemon gets from other daemons and the platform's store."""

import contextlib
import random
import types
from typing import Self

from kumquatridge.membership import bootstrap
from kumquatridge.membership import gossip as membership_gossip
from kumquatridge.membership import member_source
from kumquatridge.membership import recorder as membership_recorder
from kumquatridge.membership import settings as gossip_settings
from kumquatridge.membership import topics as gossip_topics
from kumquatridge.membership import watch_role
from kumquatridge.peers import http_link
from kumquatridge.peers import member_codec
from kumquatridge.peers import topic_codec
from kumquatridge.platform import client
from kumquatridge.platform import components as daemon_components
from kumquatridge.platform import configuration
from kumquatridge.platform import contact_repository
from kumquatridge.platform import settings_file
from kumquatridge.quarantine import crash_registry
from kumquatridge.quarantine import crash_source
from kumquatridge.settings import route_watch
from kumquatridge.settings import routes

RANDOM_SEED_BITS = 64
# The instances start within 0.3 s of each other, and a daemon must have read
# its first contacts at most 2 s after the end of an outage of the store.
BOOTSTRAP_SETTINGS = bootstrap.BootstrapSettings(
    start_jitter_ms=200,
    interval_ms=700,
    retry_max_ms=1400,
    allows_stale_reads=True,
)
# A daemon that restarts during an outage of the store can't read contacts. It
# joins when another daemon, which takes it for dead, reaches it; dead members
# are tried at about this interval.
GOSSIP_SETTINGS = gossip_settings.GossipSettings(dead_retry_ms=1500)
# Selects the daemons that watch the configuration.
WATCH_PURPOSE = "routes"
# Well above the 4 ms in which the store usually answers, and well below its
# shortest outage.
STORE_TIMEOUT_MS = 1200


class ControlPlane:
    """Keeps members, routes and crashes up to date while its context is open.

    `crashes` are the crashes of workers on all instances, by which calls are
    quarantined (see `quarantine.crash_registry`). `endpoint` serves the gossip
    of other daemons.
    """

    def __init__(
        self,
        settings: settings_file.PlatformSettings,
        components: daemon_components.DaemonComponents,
    ) -> None:
        self._settings = settings
        self._components = components
        self._client = client.PlatformClient(
            client.ClientSettings(
                settings.store_address, call_timeout_ms=STORE_TIMEOUT_MS
            )
        )
        self._gossip = membership_gossip.Gossip(
            GOSSIP_SETTINGS,
            components.members,
            http_link.HttpControlLink(
                components.connections, membership_recorder.NoRecorder()
            ),
            membership_recorder.NoRecorder(),
            random.getrandbits(RANDOM_SEED_BITS),
        )
        self.crashes = crash_registry.CrashRegistry(
            crash_registry.QuarantineSettings(),
            settings.instance,
            self.notify_peers,
        )
        self.endpoint = http_link.ControlEndpoint(self._gossip)
        self._stack = contextlib.AsyncExitStack()
        self._add_topics()
        components.store.subscribe(lambda index: self.notify_peers())

    def notify_peers(self) -> None:
        """Publishes pending changes to the other daemons at once."""
        self._gossip.notify_peers()

    def _add_topics(self) -> None:
        self._gossip.add_topic(
            topic_codec.EncodedTopic(
                gossip_topics.MEMBERS,
                member_source.MemberSource(
                    self._components.members, self._gossip.apply_pulled
                ),
                member_codec.encode_member,
                member_codec.decode_member,
            )
        )
        self._gossip.add_topic(
            topic_codec.make_topic(
                gossip_topics.ROUTES, self._components.store, routes.RouteTable
            )
        )
        self._gossip.add_topic(
            topic_codec.make_topic(
                gossip_topics.CRASHES,
                crash_source.CrashSource(self.crashes),
                crash_registry.CrashEntry,
            )
        )

    async def __aenter__(self) -> Self:
        """Starts gossip, bootstrap and the watch of the routes."""
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self._client)
            await stack.enter_async_context(self._gossip)
            await stack.enter_async_context(self._make_bootstrap())
            await stack.enter_async_context(self._make_route_watch())
            self._stack = stack.pop_all()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops the watch of the routes, bootstrap and gossip."""
        await self._stack.aclose()

    def _make_bootstrap(self) -> bootstrap.Bootstrap:
        return bootstrap.Bootstrap(
            BOOTSTRAP_SETTINGS,
            self._components.members,
            contact_repository.PlatformContactRepository(
                self._client,
                # Gossip spans all data centres of a region.
                shared_key=self._settings.region,
            ),
            membership_recorder.NoRecorder(),
            random.getrandbits(RANDOM_SEED_BITS),
            join_local=self._gossip.join_once,
            # The shared object has the contacts of all data centres, so that
            # `join_local` joins them too.
            join_remote=lambda addresses: None,
        )

    def _make_route_watch(self) -> route_watch.RouteWatch:
        return route_watch.RouteWatch(
            route_watch.RouteWatchSettings.for_bound(
                self._settings.config_apply_ms
            ),
            configuration.ConfigurationRepository(self._client),
            self._components.store,
            random.getrandbits(RANDOM_SEED_BITS),
            watch_role.WatchRole(
                self._components.members,
                self._gossip.platform_signs,
                WATCH_PURPOSE,
                self._gossip.notify,
            ),
        )
