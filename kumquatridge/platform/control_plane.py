"""What a daemon learns from the others and from the platform's store."""

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
from kumquatridge.peers import http_link
from kumquatridge.peers import member_codec
from kumquatridge.peers import topic_codec
from kumquatridge.platform import client
from kumquatridge.platform import configuration
from kumquatridge.platform import contact_repository
from kumquatridge.platform import parts as site_parts
from kumquatridge.platform import settings_file
from kumquatridge.quarantine import crash_source
from kumquatridge.quarantine import register as crash_register
from kumquatridge.settings import route_watch
from kumquatridge.settings import routes

SEED_BITS = 64
# First contact on the platform: the machines start within 0.3 s of each
# other, and an outage of the store may not cost more than 2 s after its end.
BOOTSTRAP = bootstrap.BootstrapSettings(
    spread_ms=200, interval_ms=700, retry_max_ms=1400
)
# A daemon that is restarted while the store is away knows nobody; the others
# find it again within this time.
GOSSIP = gossip_settings.GossipSettings(dead_retry_ms=1500)
# Well above the 4 ms that the store takes, well below its shortest outage.
CALL_TIMEOUT_MS = 1200


class ControlPlane:
    """Members, routes and crashes, kept up to date while it is open."""

    def __init__(
        self,
        settings: settings_file.SiteSettings,
        parts: site_parts.SiteParts,
    ) -> None:
        self._settings = settings
        self._parts = parts
        self._client = client.PlatformClient(
            client.ClientSettings(
                settings.store_address, call_timeout_ms=CALL_TIMEOUT_MS
            )
        )
        self._gossip = membership_gossip.Gossip(
            GOSSIP,
            parts.members,
            http_link.HttpControlLink(
                parts.connections, membership_recorder.NoRecorder()
            ),
            membership_recorder.NoRecorder(),
            random.getrandbits(SEED_BITS),
        )
        self.crashes = crash_register.CrashRegister(
            crash_register.QuarantineSettings(),
            settings.instance,
            self.announce,
        )
        self.endpoint = http_link.ControlEndpoint(self._gossip)
        self._stack = contextlib.AsyncExitStack()
        self._add_topics()
        parts.store.subscribe(lambda index: self.announce())

    def announce(self) -> None:
        """Tells the others at once what has changed."""
        self._gossip.announce_now()

    def _add_topics(self) -> None:
        self._gossip.add_topic(
            topic_codec.EncodedTopic(
                gossip_topics.MEMBERS,
                member_source.MemberSource(
                    self._parts.members, self._gossip.learn_pulled
                ),
                member_codec.encode_member,
                member_codec.decode_member,
            )
        )
        self._gossip.add_topic(
            topic_codec.make_topic(
                gossip_topics.ROUTES, self._parts.store, routes.RouteTable
            )
        )
        self._gossip.add_topic(
            topic_codec.make_topic(
                gossip_topics.CRASHES,
                crash_source.CrashSource(self.crashes),
                crash_register.CrashEntry,
            )
        )

    async def __aenter__(self) -> Self:
        """Starts to gossip, to look for contacts and to watch the routes."""
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
        """Stops all of these."""
        await self._stack.aclose()

    def _make_bootstrap(self) -> bootstrap.Bootstrap:
        return bootstrap.Bootstrap(
            BOOTSTRAP,
            self._parts.members,
            contact_repository.PlatformContacts(
                self._client, shared_key=self._settings.region
            ),
            membership_recorder.NoRecorder(),
            random.getrandbits(SEED_BITS),
            meet=self._gossip.meet,
            join_remote=lambda addresses: None,
        )

    def _make_route_watch(self) -> route_watch.RouteWatch:
        return route_watch.RouteWatch(
            route_watch.RouteWatchSettings(),
            configuration.ConfigurationRepository(self._client),
            self._parts.store,
            random.getrandbits(SEED_BITS),
        )
