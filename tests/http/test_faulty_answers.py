"""Answers of workers in trouble, which are no successes."""

import asyncio
import dataclasses

import aiohttp
import pytest
import uvloop

from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.http import client
from tests import calls_factory
from tests.transport import scripted
from tests.transport import test_reset


async def send(
    body: call_body.Body, *steps: scripted.Step
) -> client.SendResult | bytes:
    """Sends a call; returns its outcome, or the whole body of its answer."""
    call = dataclasses.replace(calls_factory.make_call(), body=body)
    async with (
        scripted.run_scripted(scripted.Read(), *steps) as (_, address),
        client.make_session() as session,
        client.send(session, call, f"http://{address}/", (), "w") as result,
    ):
        match result:
            case client.Answer(_, call_body.BufferedBody(data)):
                return data
            case client.Answer(_, call_body.StreamedBody(_, chunks)):
                return b"".join([chunk async for chunk in chunks])
            case outcome:
                return outcome


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
async def test_impossible_status_is_no_answer(status: str) -> None:
    answer = f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok".encode()
    result = await send(call_body.EMPTY, scripted.Send(answer))
    assert isinstance(result, outcomes.Unknown)


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("body", ["upload", "no body"])
@pytest.mark.parametrize(
    "steps",
    [
        pytest.param((scripted.SendAndReset(test_reset.ANSWER),), id="at once"),
        pytest.param(
            (
                scripted.Send(test_reset.ANSWER),
                scripted.Pause(2.0),
                scripted.Reset(),
            ),
            id="later",
        ),
    ],
)
def test_answer_that_is_reset_is_not_complete(
    run: test_reset.Runner, body: str, steps: tuple[scripted.Step, ...]
) -> None:
    async def check() -> None:
        for _ in range(test_reset.EXCHANGES):
            try:
                result = await send(test_reset.make_body(body), *steps)
            except aiohttp.ClientError:
                continue
            assert isinstance(result, outcomes.Unknown)

    run(check())


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_answer_that_ends_before_its_request_is_not_complete(
    run: test_reset.Runner,
) -> None:
    async def check() -> None:
        steps = (
            scripted.Send(test_reset.ANSWER),
            scripted.EndAnswer(),
            scripted.Pause(),
            scripted.Reset(),
        )
        try:
            result = await send(test_reset.make_body("upload"), *steps)
        except aiohttp.ClientError:
            return
        assert isinstance(result, outcomes.Unknown)

    run(check())


@pytest.mark.parametrize("run", [asyncio.run, uvloop.run])
def test_answer_that_ends_with_its_connection_is_complete(
    run: test_reset.Runner,
) -> None:
    async def check() -> None:
        steps = scripted.Send(test_reset.ANSWER), scripted.Close()
        assert await send(call_body.EMPTY, *steps) == test_reset.PART

    run(check())
