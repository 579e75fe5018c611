"""The platform's object API over HTTP."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import types
from typing import Self
from urllib import parse

import msgspec

from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.platform import errors
from kumquatridge.platform import messages
from kumquatridge.platform import objects
from kumquatridge.transport import errors as transport_errors
from kumquatridge.transport import messages as http
from kumquatridge.transport import pool

OBJECTS_PATH = "/api/objects/"
# Stands for the name that a key without one has, since names can't be empty.
UNNAMED = "~"
# The store answers a watch at the end of its window; this much later the
# connection is taken for silent. Covers its slowest answers (0.4 s).
WATCH_GRACE_S = 1.0
# The longest that the store lets a watch wait.
MAX_WAIT_S = 30.0
PAUSE_AFTER_CHANGE_S = 0.05

_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_REFUSED = frozenset((400, 401, 403, 413))


@dataclasses.dataclass(frozen=True, slots=True)
class ClientSettings:
    """Where the platform is and how long a call may take.

    `address` is "host:port" by IP number.
    """

    address: str
    token: str | None = dataclasses.field(default=None, repr=False)
    call_timeout_ms: int = 2_000


class PlatformClient:
    """Calls the platform while its context is open.

    No call is sent twice: what to do after a lost answer is decided by those
    who know what the call was for.
    """

    def __init__(self, settings: ClientSettings) -> None:
        self._address = settings.address
        self._timeout_s = settings.call_timeout_ms / 1000.0
        self._headers: outcomes.Headers = (
            ("Host", settings.address),
            ("Content-Type", "application/json"),
        )
        if settings.token is not None:
            mark = ("Authorization", f"Bearer {settings.token}")
            self._headers = (*self._headers, mark)
        self._connections = pool.ConnectionPool()
        self.calls = 0

    async def __aenter__(self) -> Self:
        """Opens the client; connections are made on the first calls."""
        await self._connections.__aenter__()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Closes all connections."""
        await self._connections.__aexit__(error_type, error, traceback)

    async def get(self, key: str) -> objects.PlatformObject | None:
        """Returns an object, or None when there is none."""
        status, data = await self._call("GET", _make_target(key))
        if status == _NOT_FOUND:
            return None
        _check(status)
        return _read_object(key, _decode(messages.object_decoder, data))

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> objects.WriteReply:
        """Stores a value if the object has the version expected."""
        kind, name = split_key(key)
        is_new = expected_version == objects.NOT_STORED
        metadata = messages.Metadata(name, None if is_new else expected_version)
        data = messages.encoder.encode(
            messages.StoredObject(metadata, msgspec.Raw(value))
        )
        if is_new:
            return await self._write("POST", OBJECTS_PATH + kind, data)
        return await self._write("PUT", _make_target(key), data)

    async def delete(
        self, key: str, expected_version: int
    ) -> objects.WriteReply:
        """Deletes an object if it has the version expected."""
        target = f"{_make_target(key)}?revision={expected_version}"
        return await self._write("DELETE", target, b"")

    async def list_objects(
        self, prefix: str, *, allow_stale: bool = False
    ) -> objects.Listing:
        """Returns all objects whose keys start with a prefix."""
        kind = prefix.partition("/")[0]
        found: list[objects.PlatformObject] = []
        query = {"allowStale": "1"} if allow_stale else {}
        while True:
            target = OBJECTS_PATH + kind
            if query:
                target = f"{target}?{parse.urlencode(query)}"
            status, data = await self._call("GET", target)
            _check(status)
            page = _decode(messages.listing_decoder, data)
            found.extend(_read_named(kind, one) for one in page.items)
            if not page.more or not page.items:
                break
            query["after"] = page.items[-1].metadata.name
        matching = tuple(one for one in found if one.key.startswith(prefix))
        return objects.Listing(matching, page.current_rev)

    async def list_versions(
        self, prefix: str
    ) -> tuple[objects.ObjectVersion, ...]:
        """Returns the keys and versions of the objects below a prefix."""
        listing = await self.list_objects(prefix)
        return tuple(
            objects.ObjectVersion(one.key, one.version)
            for one in listing.objects
        )

    async def wait_for_changes(
        self, prefix: str, since_version: int, window_s: float
    ) -> objects.Changes:
        """Returns the changes after a version, none when time is up."""
        kind = prefix.partition("/")[0]
        wait_s = min(window_s, MAX_WAIT_S)
        wait_ms = max(0, round(wait_s * 1000))
        target = f"{OBJECTS_PATH}{kind}?watch={since_version}&waitMs={wait_ms}"
        status, data = await self._call("GET", target, wait_s + WATCH_GRACE_S)
        if status == _GONE:
            raise errors.PlatformHistoryLostError(
                f"changes since {since_version} are no longer known"
            )
        _check(status)
        body = _decode(messages.watch_decoder, data)
        changed = (_read_event(kind, one) for one in body.events)
        return objects.Changes(
            tuple(one for one in changed if one.key.startswith(prefix)),
            max(body.current_rev, since_version),
        )

    async def watch(
        self, prefix: str, since_version: int, window_s: float
    ) -> AsyncIterator[objects.PlatformObject]:
        """Yields each change after a version; ends after the window."""
        loop = asyncio.get_running_loop()
        ends_s = loop.time() + window_s
        version = since_version
        while (left_s := ends_s - loop.time()) > 0:
            changes = await self.wait_for_changes(prefix, version, left_s)
            for one in changes.objects:
                yield one
            if changes.version != version:
                await asyncio.sleep(PAUSE_AFTER_CHANGE_S)
            version = changes.version

    async def _write(
        self, method: str, target: str, data: bytes
    ) -> objects.WriteReply:
        try:
            status, answered = await self._call(method, target, data=data)
            return _read_reply(status, answered)
        except errors.PlatformError as error:
            return objects.AnswerLost(str(error))

    async def _call(
        self,
        method: str,
        target: str,
        timeout_s: float | None = None,
        data: bytes = b"",
    ) -> tuple[int, bytes]:
        """Returns the status and the body of the answer.

        Raises:
          PlatformUnreachableError: no whole answer came in time.
        """
        request = http.Request(
            method, target, self._headers, call_body.BufferedBody(data)
        )
        self.calls += 1
        try:
            async with (
                asyncio.timeout(timeout_s or self._timeout_s),
                self._connections.send(self._address, request) as answer,
            ):
                return answer.status, await _read_whole(answer.body)
        except (TimeoutError, transport_errors.TransportError) as error:
            raise errors.PlatformUnreachableError(
                f"no answer from the platform: {error or 'time-out'}"
            ) from error


async def _read_whole(body: call_body.Body) -> bytes:
    match body:
        case call_body.BufferedBody(data):
            return data
        case call_body.StreamedBody(_, chunks):
            return b"".join([chunk async for chunk in chunks])


def split_key(key: str) -> tuple[str, str]:
    """Returns the kind and the name of a key."""
    kind, _, rest = key.partition("/")
    return kind, parse.quote(rest, safe="") or UNNAMED


def _make_target(key: str) -> str:
    kind, name = split_key(key)
    return f"{OBJECTS_PATH}{kind}/{parse.quote(name, safe='~')}"


def make_key(kind: str, name: str) -> str:
    """Returns the key of an object by its kind and name."""
    return f"{kind}/{'' if name == UNNAMED else parse.unquote(name)}"


def _read_object(
    key: str, stored: messages.StoredObject
) -> objects.PlatformObject:
    version = stored.metadata.revision
    if version is None:
        raise errors.PlatformAnswerError("the platform sent no revision")
    return objects.PlatformObject(key, version, bytes(stored.spec))


def _read_named(
    kind: str, stored: messages.StoredObject
) -> objects.PlatformObject:
    return _read_object(make_key(kind, stored.metadata.name), stored)


def _read_event(kind: str, event: messages.EventBody) -> objects.PlatformObject:
    one = _read_named(kind, event.object)
    if event.deleted:
        return dataclasses.replace(one, value=None)
    return one


def _decode(
    decoder: "msgspec.json.Decoder[messages.BodyT]", data: bytes
) -> messages.BodyT:
    try:
        return decoder.decode(data)
    except msgspec.MsgspecError as error:
        raise errors.PlatformAnswerError(
            f"the platform's answer can't be read: {error}"
        ) from error


def _check(status: int) -> None:
    match status:
        case 200:
            return
        case 401 | 403:
            raise errors.PlatformDeniedError(
                "the platform refused the credential"
            )
        case _:
            raise errors.PlatformAnswerError(
                f"the platform answered with status {status}"
            )


def _read_reply(status: int, data: bytes) -> objects.WriteReply:
    if status in (_OK, _CREATED):
        return objects.Stored(_read_revision(data))
    if status == _CONFLICT:
        return objects.Conflict(_read_revision(data))
    if status == _NOT_FOUND:
        return objects.Conflict(objects.NOT_STORED)
    if status in _REFUSED:
        return objects.Denied(
            data.decode(errors="replace") or f"refused with status {status}"
        )
    return objects.AnswerLost(f"the platform answered with status {status}")


def _read_revision(data: bytes) -> int:
    """Returns the revision of the object in an answer; 0 without one."""
    if not data:
        return objects.NOT_STORED
    stored = _decode(messages.object_decoder, data)
    return stored.metadata.revision or objects.NOT_STORED
