"""An answer without a length whose connection is reset is not complete."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine

import pytest
import uvloop

from kumquatridge.calls import body as call_body
from kumquatridge.transport import errors
from kumquatridge.transport import messages
from kumquatridge.transport import pool
from tests.transport import scripted

PART = b"part of the body"
ANSWER = b"HTTP/1.1 200 OK\r\n\r\n" + PART
CHUNK = bytes(64 * 1024)
UPLOAD_CHUNKS = 64
# The reset may arrive with the answer, after it, or while bytes are written.
EXCHANGES = 20
Runner = Callable[[Coroutine[None, None, None]], None]


async def upload() -> AsyncIterator[bytes]:
    """Yields a long body, bit by bit."""
    for _ in range(UPLOAD_CHUNKS):
        yield CHUNK
        await asyncio.sleep(0.001)


def make_body(name: str) -> call_body.Body:
    match name:
        case "upload":
            chunks = call_body.SinglePassStream(upload())
            return call_body.StreamedBody(len(CHUNK) * UPLOAD_CHUNKS, chunks)
        case "whole body":
            return call_body.BufferedBody(bytes(400_000))
        case "long body":
            # More than the kernel takes.
            return call_body.BufferedBody(bytes(20_000_000))
        case _:
            return call_body.EMPTY


async def exchange(body: str, *steps: scripted.Step) -> bytes:
    """Sends a request; returns the body of the answer."""
    async with (
        scripted.run_scripted(scripted.Read(), *steps) as (_, address),
        pool.ConnectionPool() as connections,
    ):
        request = messages.Request("POST", "/", (), make_body(body))
        async with connections.send(address, request) as answer:
            return await messages.read_body(answer.body, 1000)


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("body", ["upload", "whole body", "no body"])
@pytest.mark.parametrize(
    "steps",
    [
        pytest.param((scripted.SendAndReset(ANSWER),), id="at once"),
        pytest.param(
            (scripted.Send(ANSWER), scripted.Pause(2.0), scripted.Reset()),
            id="later",
        ),
    ],
)
def test_answer_that_is_reset_is_not_complete(
    run: Runner, body: str, steps: tuple[scripted.Step, ...]
) -> None:
    async def check() -> None:
        for _ in range(EXCHANGES):
            with pytest.raises(errors.TransportError):
                await exchange(body, *steps)

    run(check())


# A process that ends in the middle of its answer may end the connection first,
# and reset it only when more of the request arrives.
@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("body", ["upload", "long body"])
def test_answer_that_ends_before_its_request_is_not_complete(
    run: Runner, body: str
) -> None:
    async def check() -> None:
        steps = scripted.Send(ANSWER), scripted.EndAnswer(), scripted.Pause()
        with pytest.raises(errors.TransportError):
            await exchange(body, *steps, scripted.Reset())

    run(check())


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_answer_that_ends_with_its_connection_is_complete(run: Runner) -> None:
    async def check() -> None:
        steps = scripted.Send(ANSWER), scripted.Close()
        assert await exchange("no body", *steps) == PART

    run(check())
