"""Control plane of a daemon: gossip with other daemons over pynng."""

import contextlib
import random
import types
from typing import Self

from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.membership import bootstrap
from kumquatridge.membership import gossip as membership_gossip
from kumquatridge.membership import member_source
from kumquatridge.membership import recorder as membership_recorder
from kumquatridge.membership import remote_exchange
from kumquatridge.membership import settings as gossip_settings
from kumquatridge.membership import table
from kumquatridge.membership import topics as gossip_topics
from kumquatridge.peers import credential as peer_credential
from kumquatridge.peers import link as nng_link
from kumquatridge.peers import listener
from kumquatridge.peers import member_codec
from kumquatridge.peers import summary_codec
from kumquatridge.peers import threads
from kumquatridge.peers import topic_codec

RANDOM_SEED_BITS = 64


class ControlPlane:
    """Exchanges updates with other daemons while its context is open.

    `gossip` exchanges updates within this data centre, `remote` summaries with
    other data centres. `rates` are the intervals and limits of both. Aggregates
    other than the members may add their topics to `gossip` before or after the
    context is entered (see `membership.topics`).
    """

    def __init__(
        self,
        settings: daemon_settings.DaemonSettings,
        members_table: table.MemberTable,
        recorder: membership_recorder.Recorder,
        rates: gossip_settings.GossipSettings | None = None,
    ) -> None:
        threads.limit_threads()
        self._settings = settings
        self._members = members_table
        self._recorder = recorder
        credential = peer_credential.Credential(
            settings.peer_key, settings.previous_peer_keys
        )
        self._link = nng_link.NngLink(credential, recorder)
        rates = rates or gossip_settings.GossipSettings()
        self.gossip = membership_gossip.Gossip(
            rates,
            members_table,
            self._link,
            recorder,
            random.getrandbits(RANDOM_SEED_BITS),
        )
        self.remote = remote_exchange.RemoteExchange(
            rates,
            members_table,
            self._link,
            recorder,
            random.getrandbits(RANDOM_SEED_BITS),
        )
        self._listener = listener.NngListener(
            settings.control_address, credential, self.gossip, recorder
        )
        add_membership_topics(self.gossip, members_table)
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Opens the listener and contacts the local and remote seeds.

        Seeds are control addresses of other daemons, from the settings.

        Raises:
          ListenError: the control address can't be bound.
        """
        enter = self._stack.enter_async_context
        await enter(self._link)
        await enter(self._listener)
        await enter(self.gossip)
        await enter(self.remote)
        self.gossip.join(self._settings.seeds)
        self.remote.join(self._settings.remote_seeds)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops all tasks and closes the sockets."""
        await self._stack.aclose()

    def make_bootstrap(
        self, repository: bootstrap.ContactRepository
    ) -> bootstrap.Bootstrap:
        """Returns the discovery of other daemons through the platform."""
        return bootstrap.Bootstrap(
            bootstrap.BootstrapSettings(),
            self._members,
            repository,
            self._recorder,
            random.getrandbits(RANDOM_SEED_BITS),
            join_local=self.gossip.join_once,
            join_remote=self.remote.join,
            needs_contacts=not self._settings.seeds,
        )


def add_membership_topics(
    gossip: membership_gossip.Gossip, members_table: table.MemberTable
) -> None:
    """Adds the topics of members and of other data centres to gossip."""
    gossip.add_topic(
        topic_codec.EncodedTopic(
            gossip_topics.MEMBERS,
            member_source.MemberSource(members_table, gossip.apply_pulled),
            member_codec.encode_member,
            member_codec.decode_member,
        )
    )
    gossip.add_topic(
        topic_codec.EncodedTopic(
            gossip_topics.REMOTE,
            members_table.remote,
            summary_codec.encode_remote,
            summary_codec.decode_remote,
        )
    )
