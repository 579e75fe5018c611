"""Writes log records from a thread, without blocking the event loop."""

import asyncio
import collections
from collections.abc import Mapping
import types
from typing import BinaryIO, Self

import eliot
import msgspec

# Some seconds of log at the rate limits of the request log. Records beyond
# this are dropped and counted.
MAX_QUEUED_RECORDS = 5000
# Also the time-out of the last write, when the sink closes.
FLUSH_INTERVAL_S = 0.5


class LogSink:
    """Receives log records while its context is open.

    A thread encodes and writes the records in batches, so that a reader of the
    stream that stops reading blocks only this thread. `dropped` is the number
    of records dropped since the log last reported such a number.
    """

    def __init__(self, stream: BinaryIO) -> None:
        self._stream = stream
        self._queue: collections.deque[Mapping[str, object]] = (
            collections.deque()
        )
        # Values of types that JSON doesn't have are written as text.
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._task: asyncio.Task[None] | None = None
        self.dropped = 0

    async def __aenter__(self) -> Self:
        """Registers the sink with eliot and starts the writing task."""
        eliot.add_destinations(self.enqueue)
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Writes the queued records, for at most `FLUSH_INTERVAL_S`."""
        eliot.remove_destination(self.enqueue)
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        try:
            async with asyncio.timeout(FLUSH_INTERVAL_S):
                await self._flush()
        except TimeoutError:
            self.dropped += len(self._queue)

    def enqueue(self, record: Mapping[str, object]) -> None:
        """Queues a record, or drops and counts it if the queue is full."""
        if len(self._queue) >= MAX_QUEUED_RECORDS:
            self.dropped += 1
            return
        self._queue.append(record)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            await self._flush()

    async def _flush(self) -> None:
        if not self._queue:
            return
        records, self._queue = self._queue, collections.deque()
        if self.dropped:
            records.append({"event": "RecordsDropped", "count": self.dropped})
            self.dropped = 0
        await asyncio.to_thread(self._write, records)

    def _write(self, records: collections.deque[Mapping[str, object]]) -> None:
        lines = [self._encoder.encode(record) for record in records]
        self._stream.write(b"\n".join(lines) + b"\n")
        self._stream.flush()
