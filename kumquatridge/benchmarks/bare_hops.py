"""Bare hops: minimal proxies that forward every request to one worker.

    python -m kumquatridge.benchmarks.bare_hops KIND ADDRESS WORKER_ADDRESS

Each kind combines an HTTP server and client that were candidates for the data
path of daemons. A bare hop takes no decisions and buffers the whole body.
"""

import asyncio
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Mapping,
    MutableMapping,
)
import contextlib
import dataclasses
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

PYNNG_CONTEXTS = 64
PYNNG_PORT_OFFSET = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class AiohttpServer:
    """Requests are received by the low-level server of aiohttp."""


@dataclasses.dataclass(frozen=True, slots=True)
class AsgiServer:
    """Requests are received by uvicorn.

    With `is_watched` a request is cancelled when its caller disconnects.
    """

    is_watched: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LitestarServer:
    """Requests are received by a litestar route on uvicorn."""


HopServer = AiohttpServer | AsgiServer | LitestarServer


@dataclasses.dataclass(frozen=True, slots=True)
class AiohttpClient:
    """Requests are sent to the worker by aiohttp."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpxClient:
    """Requests are sent to the worker by httpx."""


@dataclasses.dataclass(frozen=True, slots=True)
class PynngClient:
    """Requests pass a pair of pynng sockets and are then sent by aiohttp."""


HopClient = AiohttpClient | HttpxClient | PynngClient


@dataclasses.dataclass(frozen=True, slots=True)
class Hop:
    """A candidate: how requests are received and how they are forwarded."""

    inbound: HopServer
    outbound: HopClient


HOPS: Mapping[str, Hop] = {
    "aiohttp-aiohttp": Hop(AiohttpServer(), AiohttpClient()),
    "asgi-aiohttp": Hop(AsgiServer(), AiohttpClient()),
    "asgi-watched-aiohttp": Hop(AsgiServer(is_watched=True), AiohttpClient()),
    "asgi-httpx": Hop(AsgiServer(), HttpxClient()),
    "litestar-httpx": Hop(LitestarServer(), HttpxClient()),
    "aiohttp-pynng-aiohttp": Hop(AiohttpServer(), PynngClient()),
}
KINDS = tuple(HOPS)


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
    """Answers requests in one context of a reply socket."""
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
    """Returns an ASGI application.

    With `watched` it cancels a request when its caller disconnects.
    """

    async def app(scope: Scope, receive: Receive, send: Send) -> None:
        body = await _read_asgi(receive)
        if not watched:
            await _answer_asgi(send, await forward(body))
            return
        request_task = asyncio.current_task()
        assert request_task is not None

        async def watch() -> None:
            await receive()
            request_task.cancel()

        watch_task = asyncio.create_task(watch())
        try:
            await _answer_asgi(send, await forward(body))
        finally:
            watch_task.cancel()

    return app


def make_litestar_app(forward: Forward) -> litestar.Litestar:
    """Returns a litestar application with one route."""

    @litestar.post("/", status_code=200, media_type="text/plain")
    async def handle(request: litestar.Request[Any, Any, Any]) -> bytes:
        return await forward(await request.body())

    return litestar.Litestar([handle], openapi_config=None)


async def run(hop: Hop, address: str, worker_address: str) -> None:
    """Runs a hop until the process is terminated."""
    async with open_client(hop.outbound, address, worker_address) as forward:
        match hop.inbound:
            case AiohttpServer():
                await run_aiohttp(address, forward)
            case AsgiServer(is_watched):
                await run_asgi(address, make_asgi_app(forward, is_watched))
            case LitestarServer():
                await run_asgi(address, make_litestar_app(forward))


@contextlib.asynccontextmanager
async def open_client(
    outbound: HopClient, address: str, worker_address: str
) -> AsyncIterator[Forward]:
    """Yields a function that sends bodies to the worker."""
    match outbound:
        case AiohttpClient():
            async with client.make_session() as session:
                yield forward_by_aiohttp(session, worker_address)
        case HttpxClient():
            limits = httpx.Limits(max_connections=None)
            async with httpx.AsyncClient(limits=limits) as httpx_session:
                yield forward_by_httpx(httpx_session, worker_address)
        case PynngClient():
            async with client.make_session() as session:
                forward_to_worker = forward_by_aiohttp(session, worker_address)
                async with _open_pynng(address, forward_to_worker) as forward:
                    yield forward


@contextlib.asynccontextmanager
async def _open_pynng(
    address: str, forward_to_worker: Forward
) -> AsyncIterator[Forward]:
    host, port = address.rsplit(":", 1)
    socket_url = f"tcp://{host}:{int(port) + PYNNG_PORT_OFFSET}"
    with (
        pynng.Rep0(listen=socket_url) as reply,
        pynng.Req0(dial=socket_url) as requester,
    ):
        async with asyncio.TaskGroup() as group:
            for _ in range(PYNNG_CONTEXTS):
                group.create_task(serve_pynng(reply, forward_to_worker))
            yield forward_by_pynng(requester)


@click.command()
@click.argument("kind", type=click.Choice(KINDS))
@click.argument("address")
@click.argument("worker_address")
def main(kind: str, address: str, worker_address: str) -> None:
    """Runs a hop of KIND at ADDRESS in front of WORKER_ADDRESS."""
    uvloop.run(run(HOPS[kind], address, worker_address))


if __name__ == "__main__":
    main()
