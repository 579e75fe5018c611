"""A server that runs scripted steps and records what it receives."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import os
import socket
import struct

from tests import processes

READ_BYTES = 65536
# SO_LINGER switched on with a time of 0 s: a close sends a RST.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True)
class Send:
    """Writes bytes."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class Read:
    """Waits for bytes and reads those available, at most `READ_BYTES`."""


@dataclasses.dataclass(frozen=True)
class Close:
    """Closes the connection with a FIN."""


@dataclasses.dataclass(frozen=True)
class Reset:
    """Closes the connection with a RST."""


@dataclasses.dataclass(frozen=True)
class EndAnswer:
    """Sends a FIN, and nothing more, but keeps the connection."""


@dataclasses.dataclass(frozen=True)
class SendAndReset:
    """Writes bytes and resets, which arrives together with them."""

    data: bytes


@dataclasses.dataclass(frozen=True)
class Pause:
    """Waits, so that the bytes before and after it arrive separately."""

    ms: float = 30.0


Step = Send | Read | Close | Reset | EndAnswer | SendAndReset | Pause


class ScriptedServer:
    """Runs the same steps on every connection."""

    def __init__(self, steps: tuple[Step, ...]) -> None:
        self._steps = steps
        self.connection_count = 0
        self.received: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Runs the steps, then reads until the client closes."""
        self.connection_count += 1
        try:
            for step in self._steps:
                await self._run_step(step, reader, writer)
            while data := await reader.read(READ_BYTES):
                self.received.append(data)
        except OSError:
            pass
        finally:
            writer.close()

    async def _run_step(
        self,
        step: Step,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        match step:
            case Send(data):
                writer.write(data)
                await writer.drain()
            case Read():
                self.received.append(await reader.read(READ_BYTES))
            case Close():
                writer.close()
            case Reset():
                _reset_on_close(writer).close()
                writer.close()
            case EndAnswer():
                writer.write_eof()
            case SendAndReset(data):
                duplicate = _reset_on_close(writer)
                with duplicate:
                    # The transport closes its own descriptor first.
                    writer.transport.abort()
                    await asyncio.sleep(0)
                    duplicate.send(data)
            case Pause(ms):
                await asyncio.sleep(ms / 1000.0)


def _reset_on_close(writer: asyncio.StreamWriter) -> socket.socket:
    """Makes the last close of a connection a reset; returns a duplicate."""
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    return socket.socket(fileno=os.dup(raw.fileno()))


@contextlib.asynccontextmanager
async def run_scripted(
    *steps: Step,
) -> AsyncIterator[tuple[ScriptedServer, str]]:
    """Runs a scripted server; yields it and its address."""
    scripted = ScriptedServer(steps)
    address = processes.get_free_address()
    host, port = address.rsplit(":", 1)
    server = await asyncio.start_server(scripted.serve, host, int(port))
    async with server:
        yield scripted, address
