"""Bare hops: forward every request to one worker and decide nothing.

    python -m kumquatridge.benchmarks.bare_hops KIND ADDRESS WORKER_ADDRESS

Each kind is a candidate for the data path. All hold a short body whole.
"""

import asyncio
from collections.abc import Awaitable, Callable, MutableMapping
import contextlib
from typing import Any

import aiohttp
from aiohttp import web
import click
import httpx
import litestar
import pynng
import uvicorn
import uvloop

from kumquatridge.http import client
from kumquatridge.http import server

Scope = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Scope]]
Send = Callable[[Scope], Awaitable[None]]
Forward = Callable[[bytes], Awaitable[bytes]]

KINDS = (
    "aiohttp-aiohttp",
    "asgi-aiohttp",
    "asgi-watched-aiohttp",
    "asgi-httpx",
    "litestar-httpx",
    "aiohttp-pynng-aiohttp",
)


def forward_by_aiohttp(
    session: aiohttp.ClientSession, worker_address: str
) -> Forward:
    """Returns a function that sends a body to the worker."""

    async def forward(body: bytes) -> bytes:
        url = f"http://{worker_address}/"
        async with session.post(url, data=body) as answer:
            return await answer.read()

    return forward


def forward_by_httpx(
    session: httpx.AsyncClient, worker_address: str
) -> Forward:
    """Returns a function that sends a body to the worker."""

    async def forward(body: bytes) -> bytes:
        answer = await session.post(f"http://{worker_address}/", content=body)
        return answer.content

    return forward


def forward_by_pynng(socket: pynng.Req0) -> Forward:
    """Returns a function that sends a body over a request socket."""

    async def forward(body: bytes) -> bytes:
        with socket.new_context() as context:
            await context.asend(body)
            answer: bytes = await context.arecv()
            return answer

    return forward


async def serve_pynng(socket: pynng.Rep0, forward: Forward) -> None:
    """Answers the requests of one context of a reply socket."""
    with socket.new_context() as context:
        while True:
            body = await context.arecv()
            await context.asend(await forward(body))


async def run_aiohttp(address: str, forward: Forward) -> None:
    """Serves by the low-level server of aiohttp."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        return web.Response(body=await forward(await request.read()))

    async with server.HttpServer(address, handle):
        await asyncio.Event().wait()


async def run_asgi(address: str, app: Any) -> None:
    """Serves an ASGI application by uvicorn."""
    host, port = address.rsplit(":", 1)
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        log_level="warning",
        access_log=False,
        lifespan="off",
    )
    await uvicorn.Server(config).serve()


async def _read_asgi(receive: Receive) -> bytes:
    parts = []
    while True:
        message = await receive()
        parts.append(message.get("body", b""))
        if not message.get("more_body"):
            return b"".join(parts)


async def _answer_asgi(send: Send, body: bytes) -> None:
    length = str(len(body)).encode()
    await send(
        {
            "type": "http.response.start",
            "status": 200,
            "headers": [(b"content-length", length)],
        }
    )
    await send({"type": "http.response.body", "body": body})


def make_asgi_app(forward: Forward, watched: bool) -> Any:
    """Returns an ASGI application, which may watch for lost connections."""

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        body = await _read_asgi(receive)
        if not watched:
            await _answer_asgi(send, await forward(body))
            return
        handling = asyncio.current_task()
        assert handling is not None

        async def watch() -> None:
            await receive()
            handling.cancel()

        watching = asyncio.create_task(watch())
        try:
            await _answer_asgi(send, await forward(body))
        finally:
            watching.cancel()

    return app


def make_litestar_app(forward: Forward) -> litestar.Litestar:
    """Returns a litestar application with one route."""

    @litestar.post("/", status_code=200, media_type="text/plain")
    async def handle(request: litestar.Request[Any, Any, Any]) -> bytes:
        return await forward(await request.body())

    return litestar.Litestar([handle], openapi_config=None)


async def run(kind: str, address: str, worker_address: str) -> None:
    """Runs one kind of hop until the process is ended."""
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(client.make_session())
        forward = forward_by_aiohttp(session, worker_address)
        if kind.endswith("httpx"):
            plain = await stack.enter_async_context(
                httpx.AsyncClient(limits=httpx.Limits(max_connections=None))
            )
            forward = forward_by_httpx(plain, worker_address)
        match kind:
            case "aiohttp-aiohttp":
                await run_aiohttp(address, forward)
            case "asgi-aiohttp" | "asgi-httpx":
                await run_asgi(address, make_asgi_app(forward, False))
            case "asgi-watched-aiohttp":
                await run_asgi(address, make_asgi_app(forward, True))
            case "litestar-httpx":
                await run_asgi(address, make_litestar_app(forward))
            case "aiohttp-pynng-aiohttp":
                await _run_with_pynng(stack, address, forward)


PYNNG_CONTEXTS = 64


async def _run_with_pynng(
    stack: contextlib.AsyncExitStack, address: str, forward: Forward
) -> None:
    host, port = address.rsplit(":", 1)
    control = f"tcp://{host}:{int(port) + 1000}"
    reply = stack.enter_context(pynng.Rep0(listen=control))
    ask = stack.enter_context(pynng.Req0(dial=control))
    async with asyncio.TaskGroup() as group:
        for _ in range(PYNNG_CONTEXTS):
            group.create_task(serve_pynng(reply, forward))
        group.create_task(run_aiohttp(address, forward_by_pynng(ask)))


@click.command()
@click.argument("kind", type=click.Choice(KINDS))
@click.argument("address")
@click.argument("worker_address")
def main(kind: str, address: str, worker_address: str) -> None:
    """Runs a hop of KIND at ADDRESS in front of WORKER_ADDRESS."""
    uvloop.run(run(kind, address, worker_address))


if __name__ == "__main__":
    main()
