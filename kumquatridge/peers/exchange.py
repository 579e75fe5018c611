"""Exchange of heartbeats: one task for each peer, one that answers."""

import asyncio
import hmac
import types
from typing import Self

import pynng

from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.peers import errors
from kumquatridge.peers import messages
from kumquatridge.telemetry import events

HEARTBEAT_INTERVAL_S = 0.5
ANSWER_TIMEOUT_MS = 1000


class HeartbeatExchange:
    """Exchanges news of members with peers while its context is open."""

    def __init__(
        self,
        own_address: str,
        seeds: tuple[str, ...],
        peer_key: str,
        members_table: table.MemberTable,
    ) -> None:
        self._own_address = own_address
        self._peer_key = peer_key
        self._members = members_table
        self._seeds = seeds
        self._peer_tasks: dict[str, asyncio.Task[None]] = {}
        self._wake = asyncio.Event()
        self._closing = False
        self._socket: pynng.Rep0 | None = None
        self._answering: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Self:
        """Listens for peers and starts a task for each seed."""
        self._socket = pynng.Rep0(listen=f"tcp://{self._own_address}")
        self._answering = asyncio.create_task(self._answer(self._socket))
        for seed in self._seeds:
            self._start_peer(seed)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops all tasks and closes the socket.

        The library drops a cancellation that meets an exchange just done,
        hence the flag that every task checks.
        """
        self._closing = True
        self.announce_now()
        tasks = list(self._peer_tasks.values())
        if self._answering is not None:
            tasks.append(self._answering)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        if self._socket is not None:
            self._socket.close()

    def announce_now(self) -> None:
        """Makes every peer task send a heartbeat at once."""
        self._wake.set()
        self._wake = asyncio.Event()

    def _start_peer(self, address: str) -> None:
        if self._closing or address in self._peer_tasks:
            return
        if address == self._own_address:
            return
        self._peer_tasks[address] = asyncio.create_task(self._talk_to(address))

    async def _talk_to(self, address: str) -> None:
        with pynng.Req0(
            send_timeout=ANSWER_TIMEOUT_MS, recv_timeout=ANSWER_TIMEOUT_MS
        ) as socket:
            socket.dial(f"tcp://{address}", block=False)
            while not self._closing:
                wake = self._wake
                try:
                    await socket.asend(self._make_heartbeat())
                    self._learn(await socket.arecv())
                except (pynng.exceptions.Timeout, errors.PeerError):
                    pass
                try:
                    async with asyncio.timeout(HEARTBEAT_INTERVAL_S):
                        await wake.wait()
                except TimeoutError:
                    pass

    async def _answer(self, socket: pynng.Rep0) -> None:
        while not self._closing:
            received = await socket.arecv()
            try:
                self._learn(received)
            except errors.PeerError:
                pass
            await socket.asend(self._make_heartbeat())

    def _make_heartbeat(self) -> bytes:
        news = tuple(messages.make_news(member) for member in self._members)
        return messages.encode_heartbeat(
            messages.Heartbeat(self._peer_key, news)
        )

    def _learn(self, received: bytes) -> None:
        heartbeat = messages.decode_heartbeat(received)
        if not hmac.compare_digest(
            heartbeat.key.encode(), self._peer_key.encode()
        ):
            raise errors.MalformedMessageError("wrong peer key")
        for news in heartbeat.news:
            self._learn_member(messages.read_news(news))

    def _learn_member(self, member: members.Member) -> None:
        if not self._members.learn(member):
            return
        events.log(
            events.MemberChanged(
                member.instance,
                member.incarnation,
                type(member.state).__name__,
            )
        )
        self._start_peer(member.control_address)
