"""Writes the log without ever holding up the event loop."""

import asyncio
import collections
from collections.abc import Mapping
import types
from typing import BinaryIO, Self

import eliot
import msgspec

# Lines that wait to be written. At the rates allowed for requests this is
# some seconds; what does not fit is dropped and counted.
MAX_WAITING = 5000
FLUSH_INTERVAL_S = 0.5


class LogSink:
    """Takes the log's records while its context is open.

    Records are encoded and written in batches by a thread. A reader that
    stops holds up that thread only.
    """

    def __init__(self, stream: BinaryIO) -> None:
        self._stream = stream
        self._waiting: collections.deque[Mapping[str, object]] = (
            collections.deque()
        )
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._task: asyncio.Task[None] | None = None
        self.dropped = 0

    async def __aenter__(self) -> Self:
        """Starts to take records."""
        eliot.add_destinations(self.take)
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Writes what waits, unless the reader has stopped."""
        eliot.remove_destination(self.take)
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        try:
            async with asyncio.timeout(FLUSH_INTERVAL_S):
                await self._flush()
        except TimeoutError:
            self.dropped += len(self._waiting)

    def take(self, record: Mapping[str, object]) -> None:
        """Takes a record; drops it when too many wait."""
        if len(self._waiting) >= MAX_WAITING:
            self.dropped += 1
            return
        self._waiting.append(record)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            await self._flush()

    async def _flush(self) -> None:
        if not self._waiting:
            return
        records, self._waiting = self._waiting, collections.deque()
        if self.dropped:
            records.append({"event": "RecordsDropped", "count": self.dropped})
            self.dropped = 0
        await asyncio.to_thread(self._write, records)

    def _write(self, records: collections.deque[Mapping[str, object]]) -> None:
        lines = [self._encoder.encode(record) for record in records]
        self._stream.write(b"\n".join(lines) + b"\n")
        self._stream.flush()
