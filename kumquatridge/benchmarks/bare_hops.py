"""Bare hops: forward every request to one worker and decide nothing.

    python -m kumquatridge.benchmarks.bare_hops KIND ADDRESS WORKER_ADDRESS

Each kind is a candidate for the data path. All hold a short body whole.
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
class AiohttpFront:
    """Requests come in by the low-level server of aiohttp."""


@dataclasses.dataclass(frozen=True, slots=True)
class AsgiFront:
    """Requests come in by uvicorn; a watched one notices lost callers."""

    is_watched: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LitestarFront:
    """Requests come in by a litestar route on uvicorn."""


Front = AiohttpFront | AsgiFront | LitestarFront


@dataclasses.dataclass(frozen=True, slots=True)
class AiohttpBack:
    """Requests go to the worker by aiohttp."""


@dataclasses.dataclass(frozen=True, slots=True)
class HttpxBack:
    """Requests go to the worker by httpx."""


@dataclasses.dataclass(frozen=True, slots=True)
class PynngBack:
    """Requests go through a pair of pynng sockets, then by aiohttp."""


Back = AiohttpBack | HttpxBack | PynngBack


@dataclasses.dataclass(frozen=True, slots=True)
class Hop:
    """A candidate: how requests come in and how they go on."""

    front: Front
    back: Back


HOPS: Mapping[str, Hop] = {
    "aiohttp-aiohttp": Hop(AiohttpFront(), AiohttpBack()),
    "asgi-aiohttp": Hop(AsgiFront(), AiohttpBack()),
    "asgi-watched-aiohttp": Hop(AsgiFront(is_watched=True), AiohttpBack()),
    "asgi-httpx": Hop(AsgiFront(), HttpxBack()),
    "litestar-httpx": Hop(LitestarFront(), HttpxBack()),
    "aiohttp-pynng-aiohttp": Hop(AiohttpFront(), PynngBack()),
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


async def run(hop: Hop, address: str, worker_address: str) -> None:
    """Runs a hop until the process is ended."""
    async with open_back(hop.back, address, worker_address) as forward:
        match hop.front:
            case AiohttpFront():
                await run_aiohttp(address, forward)
            case AsgiFront(is_watched):
                await run_asgi(address, make_asgi_app(forward, is_watched))
            case LitestarFront():
                await run_asgi(address, make_litestar_app(forward))


@contextlib.asynccontextmanager
async def open_back(
    back: Back, address: str, worker_address: str
) -> AsyncIterator[Forward]:
    """Yields a function that sends bodies to the worker."""
    match back:
        case AiohttpBack():
            async with client.make_session() as session:
                yield forward_by_aiohttp(session, worker_address)
        case HttpxBack():
            limits = httpx.Limits(max_connections=None)
            async with httpx.AsyncClient(limits=limits) as plain:
                yield forward_by_httpx(plain, worker_address)
        case PynngBack():
            async with client.make_session() as session:
                beyond = forward_by_aiohttp(session, worker_address)
                async with _open_pynng(address, beyond) as forward:
                    yield forward


@contextlib.asynccontextmanager
async def _open_pynng(address: str, beyond: Forward) -> AsyncIterator[Forward]:
    host, port = address.rsplit(":", 1)
    control = f"tcp://{host}:{int(port) + PYNNG_PORT_OFFSET}"
    with (
        pynng.Rep0(listen=control) as reply,
        pynng.Req0(dial=control) as ask,
    ):
        async with asyncio.TaskGroup() as group:
            for _ in range(PYNNG_CONTEXTS):
                group.create_task(serve_pynng(reply, beyond))
            yield forward_by_pynng(ask)


@click.command()
@click.argument("kind", type=click.Choice(KINDS))
@click.argument("address")
@click.argument("worker_address")
def main(kind: str, address: str, worker_address: str) -> None:
    """Runs a hop of KIND at ADDRESS in front of WORKER_ADDRESS."""
    uvloop.run(run(HOPS[kind], address, worker_address))


if __name__ == "__main__":
    main()
