"""Control planes of daemons on an in-memory network with faults."""

import asyncio
import collections
from collections.abc import AsyncIterator, Callable, Iterable
import contextlib
import dataclasses
import random

from kumquatridge.membership import errors
from kumquatridge.membership import gossip as membership_gossip
from kumquatridge.membership import member as members
from kumquatridge.membership import member_source
from kumquatridge.membership import messages
from kumquatridge.membership import recorder
from kumquatridge.membership import remote_exchange
from kumquatridge.membership import settings as gossip_settings
from kumquatridge.membership import table
from kumquatridge.membership import topics
from kumquatridge.peers import member_codec
from kumquatridge.peers import messages as codec
from kumquatridge.peers import summary_codec
from kumquatridge.peers import topic_codec

SERVICE = "stock"


@dataclasses.dataclass(frozen=True, slots=True)
class Faults:
    """Message faults of the network; each direction is drawn separately.

    `repeat_ratio` is the share of requests that the receiver handles twice.
    """

    delay_min_ms: float = 0.5
    delay_max_ms: float = 2.0
    drop_ratio: float = 0.0
    repeat_ratio: float = 0.0


class Network:
    """Delivers messages between the nodes of a test.

    The name of a node is its address, too. `cut` has the pairs of nodes that
    can't reach each other. `sent` counts the requests of each node, and
    `sent_bytes` the bytes of its requests and answers. Messages of a node wait
    while its event in `running` is cleared.
    """

    def __init__(self, seed: int, faults: Faults | None = None) -> None:
        self.random = random.Random(seed)
        self.faults = faults or Faults()
        self.handlers: dict[str, membership_gossip.Gossip] = {}
        self.running: dict[str, asyncio.Event] = {}
        self.cut: set[frozenset[str]] = set()
        self.sent: collections.Counter[str] = collections.Counter()
        self.sent_bytes: collections.Counter[str] = collections.Counter()

    def cut_between(
        self, side: Iterable[str], other_side: Iterable[str]
    ) -> None:
        """Cuts the links between all nodes of the two sides."""
        other_names = tuple(other_side)
        self.cut |= {frozenset((a, b)) for a in side for b in other_names}

    async def deliver(
        self, sender: str, address: str, request: messages.Request
    ) -> messages.Answer:
        """Delivers a request and returns the answer.

        Does not return if a message is lost; the sender's time-out ends it.
        """
        self.sent[sender] += 1
        await self._transmit(sender, address, codec.encode(request))
        handler = self.handlers.get(address)
        if handler is None:
            # No node runs at the address: the request is lost.
            await asyncio.Event().wait()
        assert handler is not None
        answer = await handler.answer(request)
        if self.random.random() < self.faults.repeat_ratio:
            answer = await handler.answer(request)
        await self._transmit(address, sender, codec.encode(answer))
        return answer

    async def _transmit(self, sender: str, receiver: str, data: bytes) -> None:
        self.sent_bytes[sender] += len(data)
        await asyncio.sleep(
            self.random.uniform(
                self.faults.delay_min_ms, self.faults.delay_max_ms
            )
            / 1000.0
        )
        lost = self.random.random() < self.faults.drop_ratio
        if lost or frozenset((sender, receiver)) in self.cut:
            await asyncio.Event().wait()
        for node in (sender, receiver):
            if node in self.running:
                await self.running[node].wait()


class FakeLink:
    """The network as seen by one node; addresses are the names of nodes."""

    def __init__(self, network: Network, sender: str) -> None:
        self._network = network
        self._sender = sender

    async def ask(
        self, address: str, request: messages.Request, timeout_ms: int
    ) -> messages.Answer:
        """Sends a request; see `membership.links.ControlLink`."""
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                return await self._network.deliver(
                    self._sender, address, request
                )
        except TimeoutError as error:
            await self._network.running[self._sender].wait()
            raise errors.PeerSilentError(address) from error

    def disconnect(self, address: str) -> None:
        """Does nothing: there are no connections."""


class Node:
    """The control plane of one daemon."""

    def __init__(
        self,
        network: Network,
        name: str,
        incarnation: int = 1,
        data_centre: str = "landshut",
        settings: gossip_settings.GossipSettings | None = None,
    ) -> None:
        self.name = name
        self.network = network
        self.table = table.MemberTable(
            members.Member(
                name,
                incarnation,
                data_centre,
                f"call-{name}",
                name,
                # A worker with 10 slots that states 40 connections.
                members.Announcement(SERVICE, f"worker-{name}", 10, 40),
            )
        )
        settings = settings or gossip_settings.GossipSettings()
        link = FakeLink(network, name)
        null_recorder = recorder.NoRecorder()
        self.gossip = membership_gossip.Gossip(
            settings,
            self.table,
            link,
            null_recorder,
            network.random.getrandbits(64),
        )
        self.remote = remote_exchange.RemoteExchange(
            settings,
            self.table,
            link,
            null_recorder,
            network.random.getrandbits(64),
        )
        self._add_topics()
        self._stack = contextlib.AsyncExitStack()

    async def start(
        self, seeds: Iterable[str] = (), remote_seeds: Iterable[str] = ()
    ) -> None:
        """Starts the control plane and joins through the seeds."""
        self.network.handlers[self.name] = self.gossip
        self.network.running[self.name] = asyncio.Event()
        self.network.running[self.name].set()
        await self._stack.enter_async_context(self.gossip)
        await self._stack.enter_async_context(self.remote)
        self.gossip.join(seeds)
        self.remote.join(remote_seeds)

    async def crash(self) -> None:
        """Stops the node without notifying its peers."""
        self.network.handlers.pop(self.name, None)
        await self._stack.aclose()

    def pause(self) -> None:
        """Holds back all messages from and to the node."""
        self.network.running[self.name].clear()

    def resume(self) -> None:
        """Delivers the messages that were held back and resumes the node."""
        self.network.running[self.name].set()

    def leave(self) -> None:
        """Announces that the node leaves."""
        own = self.table.own
        self.table.set_own(
            dataclasses.replace(
                own, incarnation=own.incarnation + 1, state=members.Leaving()
            )
        )
        self.gossip.notify_peers()

    def get_routable(self) -> set[str]:
        """Returns the instances that this node may send calls to."""
        return {member.instance for member in self.table.get_instances(SERVICE)}

    def _add_topics(self) -> None:
        self.gossip.add_topic(
            topic_codec.EncodedTopic(
                topics.MEMBERS,
                member_source.MemberSource(
                    self.table, self.gossip.apply_pulled
                ),
                member_codec.encode_member,
                member_codec.decode_member,
            )
        )
        self.gossip.add_topic(
            topic_codec.EncodedTopic(
                topics.REMOTE,
                self.table.remote,
                summary_codec.encode_remote,
                summary_codec.decode_remote,
            )
        )


@contextlib.asynccontextmanager
async def run_fleet(network: Network, count: int) -> AsyncIterator[list[Node]]:
    """Runs nodes that join through the seed `n0`."""
    nodes = [Node(network, f"n{index}") for index in range(count)]
    try:
        for node in nodes:
            await node.start(seeds=("n0",))
        yield nodes
    finally:
        for node in nodes:
            await node.crash()


async def wait_until(condition: Callable[[], bool], timeout_s: float) -> float:
    """Waits for a condition; returns how long that took, in seconds."""
    loop = asyncio.get_running_loop()
    started = loop.time()
    while not condition():
        if loop.time() - started > timeout_s:
            raise AssertionError(f"condition does not hold after {timeout_s} s")
        await asyncio.sleep(0.05)
    return loop.time() - started
