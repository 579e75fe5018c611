"""Measures the processor time of an exchange between daemons.

    python -m kumquatridge.benchmarks.peer_legs [--messages N]

Both ends run in one process on loopback. Compared are the frames and HTTP of
the product's transport, and `pynng` with a context for each message.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterator
import time

import click
import pynng
import uvloop

from kumquatridge.calls import body as call_body
from kumquatridge.standins import loopback
from kumquatridge.transport import frame_listener
from kumquatridge.transport import frame_pool
from kumquatridge.transport import frames
from kumquatridge.transport import http_listener
from kumquatridge.transport import messages as http
from kumquatridge.transport import pool

CONCURRENCY = 8
# About the size of a call's head and of a short body.
HEAD = b"h" * 150
BODY = call_body.BufferedBody(b"b" * 50)
TIMEOUT_MS = 2000.0
HEADERS = tuple((f"x-header-{number}", "value") for number in range(6))


async def measure_us(
    send: Callable[[], Awaitable[object]], messages: int
) -> float:
    """Returns the processor time of one message and its answer."""
    for _ in range(2):  # The first round opens the connections.
        numbers = iter(range(messages))

        async def keep_sending(numbers: Iterator[int] = numbers) -> None:
            for _ in numbers:
                await send()

        started_s = time.process_time()
        async with asyncio.TaskGroup() as group:
            for _ in range(CONCURRENCY):
                group.create_task(keep_sending())
        spent_s = time.process_time() - started_s
    return spent_s / messages * 1e6


async def measure_frames(messages: int) -> float:
    """Measures messages sent as frames."""

    async def handle(
        message: frames.Message, responder: frame_listener.FrameResponder
    ) -> None:
        await responder.send(message.head, message.body)

    address = loopback.get_free_address()
    async with (
        frame_listener.FrameListener(address, handle),
        frame_pool.FramePool() as connections,
    ):

        async def send() -> None:
            message = frames.Message(HEAD, BODY)
            async with connections.send(address, message, TIMEOUT_MS):
                pass

        return await measure_us(send, messages)


async def measure_http(messages: int) -> float:
    """Measures requests sent over HTTP."""

    async def handle(
        request: http.Request, responder: http_listener.Responder
    ) -> None:
        await responder.send(http.Answer(200, HEADERS, request.body))

    address = loopback.get_free_address()
    async with (
        http_listener.HttpListener(address, handle),
        pool.ConnectionPool() as connections,
    ):

        async def send() -> None:
            request = http.Request("POST", "/", HEADERS, BODY)
            async with connections.send(address, request):
                pass

        return await measure_us(send, messages)


async def measure_pynng(messages: int) -> float:
    """Measures requests sent by `pynng`."""
    address = f"tcp://{loopback.get_free_address()}"
    with (
        pynng.Rep0(listen=address) as server,
        pynng.Req0(dial=address) as requester,
    ):

        async def serve() -> None:
            with server.new_context() as context:
                while True:
                    await context.asend(await context.arecv())

        async def send() -> None:
            with requester.new_context() as context:
                await context.asend(HEAD + BODY.data)
                await context.arecv()

        server_tasks = [
            asyncio.create_task(serve()) for _ in range(CONCURRENCY)
        ]
        try:
            return await measure_us(send, messages)
        finally:
            for task in server_tasks:
                task.cancel()
            await asyncio.gather(*server_tasks, return_exceptions=True)


@click.command()
@click.option("--messages", default=4000, show_default=True)
def main(messages: int) -> None:
    """Measures the transports between daemons."""
    for name, cost_us in (
        ("frames", uvloop.run(measure_frames(messages))),
        ("HTTP", uvloop.run(measure_http(messages))),
        ("pynng", asyncio.run(measure_pynng(messages))),
    ):
        click.echo(f"{name}: {cost_us:.0f} us a message and its answer")


if __name__ == "__main__":
    main()
