"""The platform's stand-in over HTTP, runnable by itself.

`GET /meter` and `PUT /faults` belong to the stand-in; they are not counted
and no fault touches them.
"""

import argparse
import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
import signal
import types
from typing import Self
from urllib import parse

from aiohttp import web
import msgspec

from kumquatridge.http import server
from kumquatridge.platform import errors
from kumquatridge.platform import messages
from kumquatridge.platform import objects
from kumquatridge.standins import platform_store

_OBJECTS = "/v1/objects/"
_Route = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class PlatformServer:
    """Serves a store while its context is open."""

    def __init__(
        self, address: str, store: platform_store.PlatformStore
    ) -> None:
        self._store = store
        self._server = server.HttpServer(address, self._handle)
        self._routes: dict[tuple[str, str], _Route] = {
            ("GET", "/v1/objects"): self._list,
            ("GET", "/v1/watch"): self._watch,
            ("GET", "/meter"): self._get_meter,
            ("PUT", "/faults"): self._set_faults,
        }

    async def __aenter__(self) -> Self:
        """Starts to listen."""
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
        route = self._routes.get((request.method, request.path))
        try:
            if route is not None:
                return await route(request)
            if request.path.startswith(_OBJECTS):
                return await self._handle_object(request)
        except errors.PlatformUnreachableError:
            return _drop_connection(request)
        except (ValueError, KeyError, msgspec.MsgspecError) as error:
            return _refuse(400, f"malformed request: {error!r}")
        return _refuse(404, "no such path")

    async def _handle_object(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        key = parse.unquote(request.rel_url.raw_path.removeprefix(_OBJECTS))
        if request.method == "GET":
            return await self._get(request, key)
        value = None
        if request.method == "PUT":
            value = await request.read()
        reply = await self._store.write(
            _read_token(request), key, value, _read_condition(request)
        )
        match reply:
            case objects.Stored(version):
                return web.Response(headers=_tag(version))
            case objects.Conflict(version):
                return web.Response(status=412, headers=_tag(version))
            case objects.Denied(reason):
                return _refuse(403, reason)
            case objects.AnswerLost():
                return _drop_connection(request)

    async def _get(
        self, request: web.BaseRequest, key: str
    ) -> web.StreamResponse:
        found = await self._connect(request).get(key)
        if found is None:
            return _refuse(404, "no such object")
        return web.Response(body=found.value, headers=_tag(found.version))

    async def _list(self, request: web.BaseRequest) -> web.StreamResponse:
        listing = await self._connect(request).list_objects(
            request.query["prefix"]
        )
        with_values = request.query.get("values") == "true"
        body = messages.ListingBody(
            listing.version,
            tuple(_make_line(one, with_values) for one in listing.objects),
        )
        return web.Response(
            body=messages.encoder.encode(body), content_type=messages.JSON
        )

    async def _watch(self, request: web.BaseRequest) -> web.StreamResponse:
        changes = self._connect(request).watch(
            request.query["prefix"],
            int(request.query["since"]),
            int(request.query["window_ms"]) / 1000.0,
        )
        response = web.StreamResponse()
        response.content_type = messages.LINES
        await response.prepare(request)
        async for one in changes:
            line = messages.encoder.encode(_make_line(one, True))
            await response.write(line + b"\n")
        await response.write_eof()
        return response

    async def _get_meter(self, request: web.BaseRequest) -> web.StreamResponse:
        return web.json_response(dataclasses.asdict(self._store.meter))

    async def _set_faults(self, request: web.BaseRequest) -> web.StreamResponse:
        self._store.set_faults(
            msgspec.json.decode(
                await request.read(), type=platform_store.PlatformFaults
            )
        )
        return web.Response()

    def _connect(
        self, request: web.BaseRequest
    ) -> platform_store.PlatformConnection:
        return self._store.connect(_read_token(request))


def _make_line(
    one: objects.PlatformObject, with_value: bool
) -> messages.ObjectLine:
    return messages.ObjectLine(
        one.key, one.version, one.value if with_value else None
    )


def _tag(version: int) -> dict[str, str]:
    return {"ETag": f'"{version}"'}


def _read_token(request: web.BaseRequest) -> str | None:
    header = request.headers.get("Authorization", "")
    return header.removeprefix("Bearer ") or None


def _read_condition(request: web.BaseRequest) -> int:
    if request.headers.get("If-None-Match") == "*":
        return objects.NOT_STORED
    return int(request.headers["If-Match"].strip('"'))


def _refuse(status: int, detail: str) -> web.Response:
    body = messages.encoder.encode(messages.ErrorBody(detail))
    return web.Response(status=status, body=body, content_type=messages.JSON)


def _drop_connection(request: web.BaseRequest) -> web.Response:
    if request.transport is not None:
        request.transport.abort()
    return web.Response()


async def _serve(address: str) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    async with PlatformServer(address, platform_store.PlatformStore()):
        await stopping.wait()


def main() -> None:
    """Runs the stand-in until it is asked to stop."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True, help="host:port")
    asyncio.run(_serve(parser.parse_args().address))


if __name__ == "__main__":
    main()
