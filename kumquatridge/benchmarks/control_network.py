"""Carries control messages between daemons of one process and counts them.

Messages are encoded for their size alone, so that hundreds of daemons run in
virtual time. Each counts what it sends and receives by kind of message.
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

_KEY = credential.Credential("benchmark")
REQUEST_SEAL_BYTES = len(_KEY.seal_request(b"")[0])
ANSWER_SEAL_BYTES = len(
    frames.write_answer(frames.Accepted(_KEY.seal_answer(b"", 0)))
)
SEGMENT_BYTES = 66
SEGMENTS_PER_EXCHANGE = 4
ENVELOPE_BYTES = 12


@dataclasses.dataclass(frozen=True, slots=True)
class NetworkFaults:
    """What the network does to messages, each way by itself."""

    delay_ms: float = 1.0
    loss_ratio: float = 0.0


NO_FAULTS = NetworkFaults()


class Traffic:
    """What one daemon sent and received, by kind of message."""

    def __init__(self) -> None:
        self.messages: collections.Counter[str] = collections.Counter()
        self.size_bytes: collections.Counter[str] = collections.Counter()

    def count(self, kind: str, size_bytes: int) -> None:
        """Counts one message."""
        self.messages[kind] += 1
        self.size_bytes[kind] += size_bytes

    def reset(self) -> None:
        """Begins anew."""
        self.messages.clear()
        self.size_bytes.clear()

    @property
    def wire_bytes(self) -> float:
        """The bytes on the wire, with headers worked out."""
        return add_headers(self.messages.total(), self.size_bytes.total())


def add_headers(message_count: float, size_bytes: float) -> float:
    """Adds the headers of TCP, IP and Ethernet to messages one way."""
    exchanges = message_count / 2
    headers_bytes = SEGMENT_BYTES * SEGMENTS_PER_EXCHANGE
    return round(
        size_bytes + exchanges * headers_bytes + message_count * ENVELOPE_BYTES
    )


class ControlNetwork:
    """Knows who answers at which control address."""

    def __init__(self, seed: int, faults: NetworkFaults) -> None:
        self._random = random.Random(seed)
        self.faults = faults
        self._ends: dict[str, NetworkLink] = {}

    def connect(self, address: str) -> "NetworkLink":
        """Returns the end of a daemon at an address."""
        link = NetworkLink(self, address)
        self._ends[address] = link
        return link

    def get_end(self, address: str) -> "NetworkLink | None":
        """Returns the end at an address, if any daemon has it."""
        return self._ends.get(address)

    async def travel(self) -> None:
        """Takes the time of one message; one that is lost never comes."""
        await asyncio.sleep(self.faults.delay_ms / 1000.0)
        if self._random.random() < self.faults.loss_ratio:
            await asyncio.Event().wait()


class NetworkLink:
    """One daemon's end of the network; counts its messages."""

    def __init__(self, network: ControlNetwork, address: str) -> None:
        self._network = network
        self._address = address
        self._handler: links.Handler | None = None
        self.traffic = Traffic()

    def serve(self, handler: links.Handler | None) -> None:
        """Names what answers requests to this end; None for nobody."""
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

    def forget(self, address: str) -> None:
        """Keeps nothing open."""

    async def _exchange(
        self, address: str, request: messages.Request
    ) -> messages.Answer:
        size_bytes = len(codec.encode(request)) + REQUEST_SEAL_BYTES
        kind = type(request).__name__
        self.traffic.count(kind, size_bytes)
        await self._network.travel()
        end = self._network.get_end(address)
        if end is None or end._handler is None:
            await asyncio.Event().wait()
        assert end is not None
        assert end._handler is not None
        end.traffic.count(kind, size_bytes)
        answer = await end._handler.answer(request)
        size_bytes = len(codec.encode(answer)) + ANSWER_SEAL_BYTES
        kind = f"{kind} answered"
        end.traffic.count(kind, size_bytes)
        await self._network.travel()
        self.traffic.count(kind, size_bytes)
        return answer
