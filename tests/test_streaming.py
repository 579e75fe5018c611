"""Long bodies are streamed without buffering; refused ones are not read."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import hashlib
import pathlib

import aiohttp
import psutil
import pytest

from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.http import headers
from kumquatridge.standins import worker as worker_standin
from tests import processes

CHUNK = b"manifest" * 8192
MEGABYTE = 1_000_000
LONG_BODY_BYTES = 200 * MEGABYTE
# Far less than the body, of which a daemon may hold only some chunks.
MAX_GROWTH_BYTES = 16 * MEGABYTE
# Time-out that the caller states, at which an endless answer is cut off.
CUT_TIMEOUT_MS = 1500
# Number of chunks of a body of at least LONG_BODY_BYTES.
CHUNKS = LONG_BODY_BYTES // len(CHUNK) + 1


async def iter_long_body() -> AsyncIterator[bytes]:
    for _ in range(CHUNKS):
        yield CHUNK


def make_expected_answer(path: str) -> str:
    """Returns the sample worker's answer to a request with the long body."""
    digest = hashlib.sha256(path.encode())
    for _ in range(CHUNKS):
        digest.update(CHUNK)
    return f"{CHUNKS * len(CHUNK)} {digest.hexdigest()}"


class MemoryMonitor:
    """Measures by how much the resident memory of processes has grown.

    `growth_bytes` is the largest growth of any of the processes, since the
    monitor was created.
    """

    def __init__(self, pids: list[int]) -> None:
        self._processes = [psutil.Process(pid) for pid in pids]
        self._initial_bytes = self._read_rss_bytes()
        self.growth_bytes = 0

    def _read_rss_bytes(self) -> list[int]:
        return [process.memory_info().rss for process in self._processes]

    async def run(self) -> None:
        """Samples the memory until the task is cancelled."""
        while True:
            samples = zip(
                self._read_rss_bytes(), self._initial_bytes, strict=True
            )
            max_growth = max(now - before for now, before in samples)
            self.growth_bytes = max(self.growth_bytes, max_growth)
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("daemons", [1, 2])
async def test_long_upload_is_not_buffered(
    tmp_path: pathlib.Path, daemons: int
) -> None:
    path = "/manifests/7"
    async with contextlib.AsyncExitStack() as stack:
        cluster = await start_cluster(stack, tmp_path, daemons)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        url = f"{cluster.url}{path}"
        # What daemons allocate at their first call does not count as growth.
        async with session.put(url, data=b"x" * 1000) as answer:
            assert answer.status == 200
        monitor = MemoryMonitor(cluster.pids)
        monitoring = asyncio.create_task(monitor.run())
        async with session.put(url, data=iter_long_body()) as answer:
            assert await answer.text() == make_expected_answer(path)
        monitoring.cancel()
        assert monitor.growth_bytes < MAX_GROWTH_BYTES


async def test_body_over_the_limit_is_refused_without_reading(
    tmp_path: pathlib.Path,
) -> None:
    settings = processes.make_settings("intake-1")
    address = processes.get_free_address()
    worker = worker_standin.SampleWorker(worker_standin.WorkerSettings(address))
    async with processes.run_daemon(settings, tmp_path), worker:
        await processes.announce(settings, "dairy-intake", address, 10)
        host, port = settings.caller_address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"PUT /dairy-intake/manifests/7 HTTP/1.1\r\nhost: x\r\n"
            # More than `max_body_bytes` of the settings tree, 256 MiB.
            b"content-length: 300000000\r\nexpect: 100-continue\r\n\r\n"
        )
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
    lines = head.decode().lower().split("\r\n")
    assert lines[0].startswith("http/1.1 413 ")
    assert f"{headers.REASON}: body_too_large" in lines
    assert worker.started_count == 0


@dataclasses.dataclass(frozen=True, slots=True)
class CutCase:
    """An endless stream and whether its caller reads it.

    `chunk_ms` is the pause after each chunk that the worker sends; with 0 and a
    caller that does not read, all buffers on the way fill up.
    """

    daemons: int
    chunk_ms: int
    caller_reads: bool


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(CutCase(1, 50, True), id="one daemon, slow worker"),
        pytest.param(CutCase(2, 50, True), id="two daemons, slow worker"),
        pytest.param(
            CutCase(1, 0, False), id="one daemon, caller does not read"
        ),
        pytest.param(
            CutCase(2, 0, False), id="two daemons, caller does not read"
        ),
    ],
)
async def test_endless_answer_is_cut_off_at_its_deadline(
    tmp_path: pathlib.Path, case: CutCase
) -> None:
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        cluster = await start_cluster(stack, tmp_path, case.daemons)
        session = await enter(aiohttp.ClientSession())
        answer = await enter(
            session.get(
                f"{cluster.url}/manifests/7?chunk_ms={case.chunk_ms}",
                headers={headers.TIMEOUT: str(CUT_TIMEOUT_MS)},
            )
        )
        assert answer.status == 200
        assert not cluster.worker.stream_ended.is_set()
        # The stream has to end soon after the deadline, not at another limit.
        async with asyncio.timeout(2 * CUT_TIMEOUT_MS / 1000.0):
            await cluster.worker.stream_ended.wait()
        if case.caller_reads:
            with pytest.raises(aiohttp.ClientPayloadError):
                await answer.read()
        metrics = await read_metrics(session, cluster.first_settings)
    assert 'kumquatridge_cut_answers_total{reason="' in metrics


@dataclasses.dataclass(frozen=True, slots=True)
class Cluster:
    """Running daemons; callers use the first, the last one has the worker.

    `first_settings` are the settings of the first daemon, `pids` the process
    ids of all daemons.
    """

    first_settings: daemon_settings.DaemonSettings
    pids: list[int]
    worker: worker_standin.SampleWorker

    @property
    def url(self) -> str:
        """The URL at which callers reach the service."""
        return f"http://{self.first_settings.caller_address}/dairy-intake"


async def start_cluster(
    stack: contextlib.AsyncExitStack, folder: pathlib.Path, daemons: int
) -> Cluster:
    """Starts daemons and a worker, which run until the stack is closed."""
    enter = stack.enter_async_context
    first_settings = processes.make_settings("intake-1")
    second_settings = processes.make_settings(
        "intake-2", first_settings.control_address
    )
    started_settings = (first_settings, second_settings)[:daemons]
    pids = [
        (await enter(processes.run_daemon(settings, folder))).pid
        for settings in started_settings
    ]
    address = processes.get_free_address()
    worker = await enter(
        worker_standin.SampleWorker(worker_standin.WorkerSettings(address))
    )
    await processes.announce(started_settings[-1], "dairy-intake", address, 10)
    await processes.wait_for_instances(first_settings, "dairy-intake", 1)
    return Cluster(first_settings, pids, worker)


async def read_metrics(
    session: aiohttp.ClientSession, settings: daemon_settings.DaemonSettings
) -> str:
    """Returns the metrics of a daemon in the Prometheus text format."""
    url = f"http://{settings.operator_address}/metrics"
    async with session.get(url) as answer:
        return await answer.text()
