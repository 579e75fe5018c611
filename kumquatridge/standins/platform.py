"""HTTP server of the platform stand-in, also runnable as a process.

It implements the published protocol of the platform, a store of versioned
objects. `GET /meter` and `PUT /faults` are additions of the stand-in: they read
the counts of calls (`platform_store.Meter`) and set the injected faults
(`platform_store.PlatformFaults`). They are not counted themselves, and faults
do not affect them.
"""

import argparse
import asyncio
import dataclasses
import signal
import types
from typing import Self
from urllib import parse

import msgspec

from kumquatridge.calls import body as call_body
from kumquatridge.platform import client
from kumquatridge.platform import errors
from kumquatridge.platform import messages
from kumquatridge.platform import objects
from kumquatridge.standins import platform_store
from kumquatridge.transport import http_listener
from kumquatridge.transport import messages as http

# Maximum number of objects in the answer to one list request.
PAGE_ITEMS = 500
TOKEN_PREFIX = "Bearer "
JSON = (("Content-Type", "application/json"),)


class _ConnectionDropError(Exception):
    """The connection must be closed without an answer."""


class PlatformServer:
    """Serves a platform store over HTTP while its context is open."""

    def __init__(
        self, address: str, store: platform_store.PlatformStore
    ) -> None:
        self._store = store
        self._listener = http_listener.HttpListener(address, self._handle)

    async def __aenter__(self) -> Self:
        """Starts listening."""
        await self._listener.__aenter__()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops listening."""
        await self._listener.__aexit__(error_type, error, traceback)

    async def _handle(
        self, request: http.Request, responder: http_listener.Responder
    ) -> None:
        try:
            answer = await self._route(request)
        except (_ConnectionDropError, errors.PlatformUnreachableError):
            responder.abort()
            return
        except errors.PlatformHistoryLostError:
            answer = _make_answer(410, b"")
        except (ValueError, KeyError, msgspec.MsgspecError) as error:
            answer = _make_error(400, f"malformed request: {error!r}")
        era = ("Store-Era", str(self._store.era))
        await responder.send(
            dataclasses.replace(answer, headers=(*answer.headers, era))
        )

    async def _route(self, request: http.Request) -> http.Answer:
        path, _, query = request.target.partition("?")
        match request.method, path:
            case "GET", "/meter":
                meter = dataclasses.asdict(self._store.meter)
                return _make_answer(200, messages.encoder.encode(meter))
            case "PUT", "/faults":
                faults = msgspec.json.decode(
                    await _read_data(request),
                    type=platform_store.PlatformFaults,
                )
                self._store.set_faults(faults)
                return _make_answer(200, b"")
        if not path.startswith(client.OBJECTS_PATH):
            return _make_error(404, "no such path")
        if self._store.faults.busy:
            return _make_error(429, "too many calls")
        kind, _, name = path.removeprefix(client.OBJECTS_PATH).partition("/")
        parameters = dict(parse.parse_qsl(query))
        return await self._answer_object_request(
            request, kind, parse.unquote(name), parameters
        )

    async def _answer_object_request(
        self,
        request: http.Request,
        kind: str,
        name: str,
        parameters: dict[str, str],
    ) -> http.Answer:
        match request.method:
            case "GET" if name:
                return await self._get(request, client.make_key(kind, name))
            case "GET" if "watch" in parameters:
                return await self._watch(request, kind, parameters)
            case "GET":
                return await self._list(request, kind, parameters)
            case "POST" | "PUT":
                requested = messages.object_decoder.decode(
                    await _read_data(request)
                )
                key = client.make_key(kind, requested.metadata.name)
                expected = requested.metadata.revision or objects.NOT_STORED
                value = bytes(requested.spec)
                return await self._write(request, key, value, expected)
            case "DELETE":
                key = client.make_key(kind, name)
                expected = int(parameters["revision"])
                return await self._write(request, key, None, expected)
            case _:
                return _make_error(404, "no such call")

    async def _get(self, request: http.Request, key: str) -> http.Answer:
        stored = await self._connect(request).get(key)
        if stored is None:
            return _make_error(404, "no such object")
        return _make_answer(200, messages.encoder.encode(_make_object(stored)))

    async def _list(
        self, request: http.Request, kind: str, parameters: dict[str, str]
    ) -> http.Answer:
        listing = await self._connect(request).list_objects(f"{kind}/")
        items = sorted(
            (_make_object(listed) for listed in listing.objects),
            key=lambda item: item.metadata.name,
        )
        # The name of the last object of the previous page.
        after = parameters.get("after", "")
        remaining = [item for item in items if item.metadata.name > after]
        body = messages.ListingBody(
            tuple(_make_raw(item) for item in remaining[:PAGE_ITEMS]),
            listing.version,
            len(remaining) > PAGE_ITEMS,
        )
        return _make_answer(200, messages.encoder.encode(body))

    async def _watch(
        self, request: http.Request, kind: str, parameters: dict[str, str]
    ) -> http.Answer:
        changes = await self._connect(request).wait_for_changes(
            f"{kind}/",
            int(parameters["watch"]),
            int(parameters["waitMs"]) / 1000.0,
        )
        body = messages.WatchBody(
            tuple(
                _make_raw(
                    messages.EventBody(
                        _make_object(changed), changed.value is None
                    )
                )
                for changed in changes.objects
            ),
            changes.version,
        )
        return _make_answer(200, messages.encoder.encode(body))

    async def _write(
        self,
        request: http.Request,
        key: str,
        value: bytes | None,
        expected_version: int,
    ) -> http.Answer:
        reply = await self._store.write(
            _read_token(request), key, value, expected_version
        )
        match reply:
            case objects.Stored(version):
                stored = objects.PlatformObject(key, version, value)
                body = messages.encoder.encode(_make_object(stored))
                return _make_answer(200, body)
            case objects.Conflict(objects.NOT_STORED):
                return _make_error(404, "no such object")
            case objects.Conflict():
                current_object = self._store.find(key)
                body = messages.encoder.encode(_make_object(current_object))
                return _make_answer(409, body)
            case objects.Denied(reason):
                return _make_error(403, reason)
            case objects.AnswerLost():
                raise _ConnectionDropError

    def _connect(
        self, request: http.Request
    ) -> platform_store.PlatformConnection:
        return self._store.connect(_read_token(request))


def _make_raw(
    body: messages.StoredObject | messages.EventBody,
) -> msgspec.Raw:
    return msgspec.Raw(messages.encoder.encode(body))


def _make_object(stored: objects.PlatformObject) -> messages.StoredObject:
    """Returns an object as it is sent; the spec of a deleted one is null."""
    _, name = client.split_key(stored.key)
    spec = b"null" if stored.value is None else stored.value
    return messages.StoredObject(
        messages.Metadata(name, stored.version), msgspec.Raw(spec)
    )


async def _read_data(request: http.Request) -> bytes:
    match request.body:
        case call_body.BufferedBody(data):
            return data
        case call_body.StreamedBody(_, chunks):
            return b"".join([chunk async for chunk in chunks])


def _read_token(request: http.Request) -> str | None:
    header = http.find_header(request.headers, "authorization") or ""
    return header.removeprefix(TOKEN_PREFIX) or None


def _make_answer(status: int, data: bytes) -> http.Answer:
    return http.Answer(status, JSON, call_body.BufferedBody(data))


def _make_error(status: int, detail: str) -> http.Answer:
    return _make_answer(status, detail.encode())


async def _serve(address: str) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    async with PlatformServer(address, platform_store.PlatformStore()):
        await stopping.wait()


def main() -> None:
    """Runs the stand-in until it receives SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True, help="host:port")
    asyncio.run(_serve(parser.parse_args().address))


if __name__ == "__main__":
    main()
