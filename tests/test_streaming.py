"""Long bodies pass without being held, and refused ones are never read."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import hashlib
import pathlib

import aiohttp
import psutil
import pytest

from kumquatridge.http import headers
from kumquatridge.standins import worker as worker_standin
from tests import processes

CHUNK = b"manifest" * 8192
MEGABYTE = 1_000_000
LONG_BODY_BYTES = 200 * MEGABYTE
ALLOWED_GROWTH_BYTES = 16 * MEGABYTE
CHUNKS = LONG_BODY_BYTES // len(CHUNK) + 1


async def iter_long_body() -> AsyncIterator[bytes]:
    for _ in range(CHUNKS):
        yield CHUNK


def make_long_answer(path: str) -> str:
    digest = hashlib.sha256(path.encode())
    for _ in range(CHUNKS):
        digest.update(CHUNK)
    return f"{CHUNKS * len(CHUNK)} {digest.hexdigest()}"


class MemoryWatch:
    """Samples the resident memory of processes while its context is open."""

    def __init__(self, pids: list[int]) -> None:
        self._processes = [psutil.Process(pid) for pid in pids]
        self._before = self._read()
        self.growth_bytes = 0

    def _read(self) -> list[int]:
        return [one.memory_info().rss for one in self._processes]

    async def watch(self) -> None:
        """Samples until cancelled."""
        while True:
            grown = zip(self._read(), self._before, strict=True)
            worst = max(now - before for now, before in grown)
            self.growth_bytes = max(self.growth_bytes, worst)
            await asyncio.sleep(0.02)


@pytest.mark.parametrize("daemons", [1, 2])
async def test_long_upload_is_not_held(
    tmp_path: pathlib.Path, daemons: int
) -> None:
    first = processes.make_settings("intake-1")
    second = processes.make_settings("intake-2", first.control_address)
    started = (first, second)[:daemons]
    address = processes.get_free_address()
    path = "/manifests/7"
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        pids = [
            (await enter(processes.run_daemon(settings, tmp_path))).pid
            for settings in started
        ]
        await enter(
            worker_standin.SampleWorker(worker_standin.WorkerSettings(address))
        )
        await processes.announce(started[-1], "dairy-intake", address, 10)
        await processes.wait_for_instances(first, "dairy-intake", 1)
        session = await enter(aiohttp.ClientSession())
        url = f"http://{first.caller_address}/dairy-intake{path}"
        async with session.put(url, data=b"x" * 1000) as answer:
            assert answer.status == 200
        watch = MemoryWatch(pids)
        watching = asyncio.create_task(watch.watch())
        async with session.put(url, data=iter_long_body()) as answer:
            assert await answer.text() == make_long_answer(path)
        watching.cancel()
        assert watch.growth_bytes < ALLOWED_GROWTH_BYTES


async def test_body_over_the_limit_is_refused_unread(
    tmp_path: pathlib.Path,
) -> None:
    settings = processes.make_settings("intake-1")
    address = processes.get_free_address()
    sample = worker_standin.SampleWorker(worker_standin.WorkerSettings(address))
    async with processes.run_daemon(settings, tmp_path), sample:
        await processes.announce(settings, "dairy-intake", address, 10)
        host, port = settings.caller_address.rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"PUT /dairy-intake/manifests/7 HTTP/1.1\r\nhost: x\r\n"
            b"content-length: 300000000\r\nexpect: 100-continue\r\n\r\n"
        )
        head = await reader.readuntil(b"\r\n\r\n")
        writer.close()
    lines = head.decode().lower().split("\r\n")
    assert lines[0].startswith("http/1.1 413 ")
    assert f"{headers.REASON}: body_too_large" in lines
    assert sample.started == 0
