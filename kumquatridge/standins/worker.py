"""Stand-in worker that answers with the length and digest of each request.

The digest covers path, query and body, so that a client can check that the
request arrived unchanged.

python -m kumquatridge.standins.worker ADDRESS
"""

import asyncio
import collections
import dataclasses
import hashlib
import types
from typing import NoReturn, Self

from aiohttp import web
import click
import uvloop

from kumquatridge.http import headers
from kumquatridge.http import server

CHUNK = b"proof sheet " * 4096


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerSettings:
    """Address, service time and slots of the worker.

    `service_ms` is the service time of each call; the query parameter
    `service_ms` of a request overrides it. At most `slots` calls are processed
    at once, further calls wait in order of arrival. A call with the query
    parameter `chunk_ms` is answered by an endless stream with a pause of that
    many milliseconds after each chunk.
    """

    address: str
    service_ms: float = 0.0
    slots: int = 100_000


class SampleWorker:
    """Serves calls and counts them, also separately for each key.

    `started_count` and `finished_count` count the calls that arrived and those
    that ran to their end; a stream never does. `runs_by_key` counts the calls
    that arrived with each idempotency key. `stream_ended` is set when the
    sending of a stream has ended.
    """

    def __init__(self, settings: WorkerSettings) -> None:
        self._settings = settings
        self._slots = asyncio.Semaphore(settings.slots)
        self._server = server.HttpServer(settings.address, self._handle)
        self.runs_by_key: collections.Counter[str] = collections.Counter()
        self.started_count = 0
        self.finished_count = 0
        self.stream_ended = asyncio.Event()

    async def __aenter__(self) -> Self:
        """Starts listening."""
        await self._server.__aenter__()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops listening."""
        await self._server.__aexit__(error_type, error, traceback)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.started_count += 1
        key = request.headers.get(headers.IDEMPOTENCY_KEY)
        if key is not None:
            self.runs_by_key[key] += 1
        digest = hashlib.sha256(request.path_qs.encode())
        length_bytes = 0
        async for chunk in request.content.iter_any():
            length_bytes += len(chunk)
            digest.update(chunk)
        service_ms = float(
            request.query.get("service_ms", self._settings.service_ms)
        )
        async with self._slots:
            await asyncio.sleep(service_ms / 1000.0)
        if "chunk_ms" in request.query:
            await self._stream(request, float(request.query["chunk_ms"]))
        self.finished_count += 1
        return web.Response(text=f"{length_bytes} {digest.hexdigest()}")

    async def _stream(
        self, request: web.BaseRequest, chunk_ms: float
    ) -> NoReturn:
        answer = web.StreamResponse()
        await answer.prepare(request)
        try:
            while True:
                await answer.write(CHUNK)
                await asyncio.sleep(chunk_ms / 1000.0)
        finally:
            self.stream_ended.set()


async def run(settings: WorkerSettings) -> None:
    """Runs a worker until the process is terminated."""
    async with SampleWorker(settings):
        await asyncio.Event().wait()


@click.command()
@click.argument("address")
@click.option("--service-ms", default=0.0, help="How long each call takes.")
def main(address: str, service_ms: float) -> None:
    """Runs a sample worker at ADDRESS."""
    uvloop.run(run(WorkerSettings(address, service_ms)))


if __name__ == "__main__":
    main()
