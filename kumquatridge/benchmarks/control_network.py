"""Simulated network for control messages between daemons of one process.

Messages are passed in memory instead of over sockets, so that hundreds of
daemons run in virtual time; they are encoded only to count their bytes. Each
daemon counts sent and received messages by kind.
"""

import asyncio
import collections
import dataclasses
import random

from kumquatridge.membership import errors
from kumquatridge.membership import links
from kumquatridge.membership import messages
from kumquatridge.peers import credential
from kumquatridge.peers import frames
from kumquatridge.peers import messages as codec

_CREDENTIAL = credential.Credential("benchmark")
REQUEST_SEAL_BYTES = len(_CREDENTIAL.seal_request(b"")[0])
ANSWER_SEAL_BYTES = len(
    frames.write_answer(frames.Accepted(_CREDENTIAL.seal_answer(b"", 0)))
)
# Ethernet 14, IPv4 20, and TCP with time stamps 32.
SEGMENT_HEADER_BYTES = 66
SEGMENTS_PER_EXCHANGE = 4
# Added to each message by pynng: its length (8) and the request ID (4).
PYNNG_HEADER_BYTES = 12


@dataclasses.dataclass(frozen=True, slots=True)
class NetworkFaults:
    """Delay and loss of messages, applied in each direction separately."""

    delay_ms: float = 1.0
    loss_ratio: float = 0.0


NO_FAULTS = NetworkFaults()


class Traffic:
    """Sent and received messages of one daemon, by kind of message."""

    def __init__(self) -> None:
        self.messages: collections.Counter[str] = collections.Counter()
        self.size_bytes: collections.Counter[str] = collections.Counter()

    def count(self, kind: str, size_bytes: int) -> None:
        """Counts one message."""
        self.messages[kind] += 1
        self.size_bytes[kind] += size_bytes

    def reset(self) -> None:
        """Resets all counts to zero."""
        self.messages.clear()
        self.size_bytes.clear()

    @property
    def wire_bytes(self) -> float:
        """The bytes on the wire, with the headers estimated."""
        return add_headers(self.messages.total(), self.size_bytes.total())


def add_headers(message_count: float, size_bytes: float) -> float:
    """Adds the headers of pynng, TCP, IP and Ethernet to the message bytes.

    An exchange is a request and its answer: two messages.
    """
    exchanges = message_count / 2
    headers_bytes = SEGMENT_HEADER_BYTES * SEGMENTS_PER_EXCHANGE
    return round(
        size_bytes
        + exchanges * headers_bytes
        + message_count * PYNNG_HEADER_BYTES
    )


class ControlNetwork:
    """Connects the links of daemons by their control addresses."""

    def __init__(self, seed: int, faults: NetworkFaults) -> None:
        self._random = random.Random(seed)
        self.faults = faults
        self._links: dict[str, NetworkLink] = {}

    def connect(self, address: str) -> "NetworkLink":
        """Creates the link of a daemon at an address."""
        link = NetworkLink(self, address)
        self._links[address] = link
        return link

    def get_peer_link(self, address: str) -> "NetworkLink | None":
        """Returns the link at an address, or None if there is none."""
        return self._links.get(address)

    async def transmit(self) -> None:
        """Waits for the delay of one message; never returns if it is lost."""
        await asyncio.sleep(self.faults.delay_ms / 1000.0)
        if self._random.random() < self.faults.loss_ratio:
            await asyncio.Event().wait()


class NetworkLink:
    """Link of one daemon to the network; counts its messages."""

    def __init__(self, network: ControlNetwork, address: str) -> None:
        self._network = network
        self._address = address
        self._handler: links.Handler | None = None
        self.traffic = Traffic()

    def serve(self, handler: links.Handler | None) -> None:
        """Sets the handler of requests; with None requests go unanswered."""
        self._handler = handler

    async def ask(
        self, address: str, request: messages.Request, timeout_ms: int
    ) -> messages.Answer:
        """Sends a request; see `membership.links.ControlLink`."""
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                return await self._exchange(address, request)
        except TimeoutError as error:
            raise errors.PeerSilentError(address) from error

    def disconnect(self, address: str) -> None:
        """Does nothing: there are no connections to close."""

    async def _exchange(
        self, address: str, request: messages.Request
    ) -> messages.Answer:
        size_bytes = len(codec.encode(request)) + REQUEST_SEAL_BYTES
        kind = type(request).__name__
        self.traffic.count(kind, size_bytes)
        await self._network.transmit()
        peer = self._network.get_peer_link(address)
        if peer is None or peer._handler is None:
            await asyncio.Event().wait()
        assert peer is not None
        assert peer._handler is not None
        peer.traffic.count(kind, size_bytes)
        answer = await peer._handler.answer(request)
        size_bytes = len(codec.encode(answer)) + ANSWER_SEAL_BYTES
        kind = f"{kind} answered"
        peer.traffic.count(kind, size_bytes)
        await self._network.transmit()
        self.traffic.count(kind, size_bytes)
        return answer
