"""Callers that use their connections until the daemon's process is gone."""

import asyncio
import dataclasses
import random

from tests.platform import deployment as deployments
from tests.soak import promises

DEADLINE_S = 2.0
# Pause after a refused or lost connection.
RECONNECT_S = 0.05
# Mean pause between two requests.
PAUSE_S = 0.03
HEAD_END = b"\r\n\r\n"
PATHS = ("/shop/", promises.BUY_PATH, promises.BUY_PATH, promises.MOVED_PATH)


@dataclasses.dataclass(frozen=True)
class _Answer:
    status: int
    signature: str
    body: bytes
    closes: bool


class Caller:
    """Sends one request after the other to the daemon at an address."""

    def __init__(self, name: str, address: str, seed: int) -> None:
        self._name = name
        self._address = address
        self._random = random.Random(seed)
        self._count = 0
        # The process of the daemon; replaced when it is started again.
        self.process = ""
        self.sent: list[promises.Sent] = []

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        host, _, port = self._address.rpartition(":")
        while True:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            try:
                await self._use(reader, writer)
            finally:
                writer.transport.abort()

    async def _use(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            sent, closes = await self._send(reader, writer)
            self.sent.append(sent)
            if closes:
                return
            await asyncio.sleep(self._random.uniform(0.0, 2.0 * PAUSE_S))

    async def _send(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[promises.Sent, bool]:
        """Sends a request; returns it, and whether the connection ends."""
        self._count += 1
        request_id = f"{self._name}-{self._count}"
        path = self._random.choice(PATHS)
        lines = (
            f"POST {path}{request_id} HTTP/1.1",
            f"Host: {deployments.HOST}",
            f"Request-Id: {request_id}",
            f"Deadline-Ms: {round(DEADLINE_S * 1000)}",
            "Content-Length: 0",
        )
        sent = promises.Sent(
            request_id,
            path,
            self.process,
            asyncio.get_running_loop().time(),
            promises.NO_ANSWER,
            "",
            b"",
        )
        try:
            async with asyncio.timeout(DEADLINE_S):
                writer.write("\r\n".join(lines).encode() + HEAD_END)
                answer = await _read_answer(reader)
        except TimeoutError:
            return dataclasses.replace(sent, gave_up=True), True
        except (OSError, asyncio.IncompleteReadError):
            return sent, True
        answered = dataclasses.replace(
            sent,
            status=answer.status,
            signature=answer.signature,
            body=answer.body,
        )
        return answered, answer.closes


async def _read_answer(reader: asyncio.StreamReader) -> _Answer:
    head = (await reader.readuntil(HEAD_END)).decode().removesuffix("\r\n\r\n")
    first, *lines = head.split("\r\n")
    fields = {
        name.lower(): value
        for name, _, value in (line.partition(": ") for line in lines)
    }
    body = await reader.readexactly(int(fields["content-length"]))
    return _Answer(
        int(first.split(" ")[1]),
        fields.get("server-signature", ""),
        body,
        fields.get("connection", "").lower() == "close",
    )
