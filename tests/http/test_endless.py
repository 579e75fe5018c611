"""Workers and daemons that send bytes without end instead of an answer."""

import asyncio
from collections.abc import Coroutine
import tracemalloc

import aiohttp
import pytest

from kumquatridge import clock
from kumquatridge.callpath import service_exchange
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.http import call_credential
from kumquatridge.http import client
from kumquatridge.http import service_link
from kumquatridge.idempotency import handover
from kumquatridge.idempotency import home_registry
from tests import calls_factory
from tests.transport import scripted

MIB = 1024 * 1024
FILLER_BYTES = 16 * 1024
# Sent by a server that the client doesn't stop.
SENT_BYTES = 64 * MIB
# aiohttp parses all that arrives at once, up to 64 KiB, before it skips interim
# answers; each takes about 2 KB.
KEPT_BYTES = 8 * MIB
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OWN = home_registry.Registration("ordering-1", 7)
UPDATE = service_exchange.ServiceUpdate(
    "ordering", "landshut", handover.HomeUpdate(OWN, True, (OWN,), None), ()
)


def repeat(start: bytes, part: bytes) -> tuple[scripted.Step, ...]:
    """Returns steps that send `SENT_BYTES` unless the client closes."""
    filler = part * (FILLER_BYTES // len(part))
    return (
        scripted.Read(),
        scripted.Send(start),
        *[scripted.Send(filler)] * (SENT_BYTES // FILLER_BYTES),
    )


# Guards against an answer of a worker without end that is kept.
@pytest.mark.parametrize(
    "steps",
    [
        pytest.param(repeat(HEAD, b"a:\r\n"), id="short headers"),
        pytest.param(repeat(HEAD + b"a: ", b"x"), id="one header"),
        pytest.param(
            repeat(b"", b"HTTP/1.1 100 A\r\n\r\n"), id="interim answers"
        ),
        pytest.param(repeat(CHUNKED + b"1;", b"x"), id="a chunk extension"),
        pytest.param(repeat(CHUNKED, b"1\r\nx\r\n"), id="chunks of 1 byte"),
        pytest.param(repeat(CHUNKED + b"0\r\n", b"a:\r\n"), id="trailers"),
        pytest.param(repeat(HEAD + b"\r\n", b"x"), id="a body"),
    ],
)
async def test_answer_without_end_is_not_kept(
    steps: tuple[scripted.Step, ...],
) -> None:
    async with (
        scripted.run_scripted(*steps) as (_, address),
        client.make_session() as session,
    ):
        call = calls_factory.make_call(remaining_ms=3000.0)
        kept_bytes = await measure(send(session, call, address))
    assert kept_bytes <= KEPT_BYTES


async def send(
    session: aiohttp.ClientSession, call: calls.Call, address: str
) -> None:
    """Sends a call; holds its answer for a second without reading it."""
    async with client.send(
        session, call, f"http://{address}/", (), address
    ) as result:
        match result:
            case client.Answer():
                await asyncio.sleep(1.0)
            case outcomes.Unknown() | outcomes.NotRun():
                pass


async def measure(work: Coroutine[None, None, None]) -> int:
    """Returns the largest memory in bytes that was held at a time."""
    tracemalloc.start()
    try:
        before_bytes, _ = tracemalloc.get_traced_memory()
        await work
        _, peak_bytes = tracemalloc.get_traced_memory()
        return peak_bytes - before_bytes
    finally:
        tracemalloc.stop()


# Guards against an update of another daemon without end that is read whole.
async def test_update_without_end_is_not_read() -> None:
    steps = repeat(CHUNKED, b"1000\r\n" + b"x" * 4096 + b"\r\n")
    async with (
        scripted.run_scripted(*steps) as (_, address),
        client.make_session() as session,
    ):
        link = service_link.HttpServiceLink(
            session, call_credential.CallCredential("secret", ())
        )
        started_ms = clock.get_now_ms()
        assert await link.exchange(address, UPDATE) is None
        # Before the time-out.
        limit_ms = service_link.TIMEOUT_S * 1000
        assert clock.get_now_ms() - started_ms < limit_ms
