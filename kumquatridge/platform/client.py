"""HTTP client of the platform's object API.

What the API calls the revision of an object or of the whole store is called
its version here.
"""

import asyncio
import collections
from collections.abc import AsyncIterator, Callable, Iterable
import dataclasses
import types
from typing import Self
from urllib import parse

import msgspec

from kumquatridge import decode_errors
from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.platform import errors
from kumquatridge.platform import messages
from kumquatridge.platform import objects
from kumquatridge.telemetry import events
from kumquatridge.transport import errors as transport_errors
from kumquatridge.transport import messages as http
from kumquatridge.transport import pool

OBJECTS_PATH = "/api/objects/"
# Query of a read that may return data that is seconds old.
ALLOW_STALE = {"allowStale": "1"}
# Tells in all answers of the store how often it came back from an older copy.
ERA_HEADER = "store-era"
# Sent as the name of a key such as "kind/", whose own name is empty: the API
# has no empty names.
EMPTY_NAME = "~"
# The store ends a watch without changes when the requested wait is over. The
# client times out this much later, to allow for the store's slowest answers
# (0.4 s).
WATCH_GRACE_S = 0.5
# Longest wait that the store allows for one watch.
MAX_WAIT_S = 30.0
# Pause after a watch that returned changes, so that frequent changes arrive in
# batches.
PAUSE_AFTER_CHANGE_S = 0.05
# Longest answer that is read. A page of a listing has about 1 MB and an object
# at most 1 MiB; a watch may return several versions of an object.
MAX_ANSWER_BYTES = 16 * 1024 * 1024

_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_DENIED_WRITE_STATUSES = frozenset((400, 401, 403, 413))


@dataclasses.dataclass(frozen=True, slots=True)
class ClientSettings:
    """Address, credential and time-out of the platform's object API.

    `address` is "host:port" with an IP address as host.
    """

    address: str
    token: str | None = dataclasses.field(default=None, repr=False)
    call_timeout_ms: int = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class _StoreAnswer:
    """Status and body of an answer, and the era of the store that gave it.

    The era rises when the store comes back from an older copy, after which it
    gives versions out again. None if the store has no eras.
    """

    status: int
    data: bytes
    era: str | None


class PlatformClient:
    """Calls the platform's object API while its context is open.

    The client does not retry: only the code that uses it knows whether a call
    whose answer was lost may be repeated. `call_count` is the number of calls
    sent.
    """

    def __init__(self, settings: ClientSettings) -> None:
        self._address = settings.address
        self._timeout_s = settings.call_timeout_ms / 1000.0
        self._headers: outcomes.Headers = (
            ("Host", settings.address),
            ("Content-Type", "application/json"),
        )
        if settings.token is not None:
            authorization = ("Authorization", f"Bearer {settings.token}")
            self._headers = (*self._headers, authorization)
        self._connections = pool.ConnectionPool()
        self.call_count = 0
        # The era of the version from which a kind was last read, by kind.
        self._eras: dict[str, str | None] = {}
        # Entries that could not be read, by kind.
        self.skipped_counts: collections.Counter[str] = collections.Counter()

    async def __aenter__(self) -> Self:
        """Opens the client; connections are opened by the first calls."""
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

    async def get(
        self, key: str, *, allow_stale: bool = False
    ) -> objects.PlatformObject | None:
        """Returns an object, None if it does not exist."""
        target = _make_target(key)
        if allow_stale:
            target = f"{target}?{parse.urlencode(ALLOW_STALE)}"
        answer = await self._call("GET", target)
        if answer.status == _NOT_FOUND:
            return None
        _check_status(answer.status)
        stored = _decode(messages.object_decoder, answer.data)
        return _read_object(key, stored)

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> objects.WriteReply:
        """Stores a value if the object has the expected version."""
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
        """Deletes an object if it has the expected version."""
        target = f"{_make_target(key)}?revision={expected_version}"
        return await self._write("DELETE", target, b"")

    async def list_objects(
        self, prefix: str, *, allow_stale: bool = False
    ) -> objects.Listing:
        """Returns all objects whose keys start with a prefix."""
        kind = prefix.partition("/")[0]
        listed: list[objects.PlatformObject] = []
        query = dict(ALLOW_STALE) if allow_stale else {}
        while True:
            target = OBJECTS_PATH + kind
            if query:
                target = f"{target}?{parse.urlencode(query)}"
            answer = await self._call("GET", target)
            _check_status(answer.status)
            if "after" in query:
                self._check_era(kind, answer)
            self._eras[kind] = answer.era
            page = _decode(messages.listing_decoder, answer.data)
            page_objects = self._read_each(kind, page.items, _read_item)
            listed.extend(page_objects)
            if not page.more or not page_objects:
                break
            query["after"] = split_key(page_objects[-1].key)[1]
        matching = tuple(item for item in listed if item.key.startswith(prefix))
        return objects.Listing(matching, page.current_rev)

    async def list_versions(
        self, prefix: str
    ) -> tuple[objects.ObjectVersion, ...]:
        """Returns keys and versions of the objects whose keys have a prefix."""
        listing = await self.list_objects(prefix)
        return tuple(
            objects.ObjectVersion(item.key, item.version)
            for item in listing.objects
        )

    async def wait_for_changes(
        self, prefix: str, since_version: int, window_s: float
    ) -> objects.Changes:
        """Returns the changes after a version; none if `window_s` passes first.

        The wait is at most `MAX_WAIT_S`.

        Raises:
          PlatformHistoryLostError: the store no longer has these changes.
        """
        kind = prefix.partition("/")[0]
        wait_s = min(window_s, MAX_WAIT_S)
        wait_ms = max(0, round(wait_s * 1000))
        target = f"{OBJECTS_PATH}{kind}?watch={since_version}&waitMs={wait_ms}"
        answer = await self._call("GET", target, wait_s + WATCH_GRACE_S)
        if answer.status == _GONE:
            raise errors.PlatformHistoryLostError(
                f"watch of {prefix!r}: the platform no longer has the changes"
                f" since version {since_version}"
            )
        _check_status(answer.status)
        self._check_era(kind, answer)
        body = _decode(messages.watch_decoder, answer.data)
        changed_objects = self._read_each(kind, body.events, _read_event)
        return objects.Changes(
            tuple(
                item for item in changed_objects if item.key.startswith(prefix)
            ),
            max(body.current_rev, since_version),
        )

    async def watch(
        self, prefix: str, since_version: int, window_s: float
    ) -> AsyncIterator[objects.PlatformObject]:
        """Yields each change after a version, for `window_s`."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + window_s
        version = since_version
        while (remaining_s := deadline_s - loop.time()) > 0:
            changes = await self.wait_for_changes(prefix, version, remaining_s)
            for item in changes.objects:
                yield item
            if changes.version != version:
                await asyncio.sleep(PAUSE_AFTER_CHANGE_S)
            version = changes.version

    def _check_era(self, kind: str, answer: _StoreAnswer) -> None:
        """Checks that versions of a kind read before can be compared.

        Raises:
          PlatformHistoryLostError: the store has come back from an older copy
            since then.
        """
        era = self._eras.get(kind)
        if era is not None and answer.era != era:
            del self._eras[kind]
            raise errors.PlatformHistoryLostError(
                f"{kind}: the store came back from an older copy, with era"
                f" {answer.era} after {era}"
            )

    def _read_each(
        self,
        kind: str,
        items: Iterable[msgspec.Raw],
        read: Callable[[str, bytes], objects.PlatformObject],
    ) -> list[objects.PlatformObject]:
        """Decodes entries one by one with `read`; skips the unreadable ones."""
        decoded = []
        for item in items:
            try:
                decoded.append(read(kind, bytes(item)))
            except errors.PlatformAnswerError as error:
                self._skip_entry(kind, str(error))
        return decoded

    def _skip_entry(self, kind: str, reason: str) -> None:
        """Counts an entry that can't be read; logs the first of a kind."""
        self.skipped_counts[kind] += 1
        if self.skipped_counts[kind] == 1:
            events.log(events.PlatformEntrySkipped(kind, reason))

    async def _write(
        self, method: str, target: str, data: bytes
    ) -> objects.WriteReply:
        try:
            answer = await self._call(method, target, data=data)
            return _read_reply(answer.status, answer.data)
        except errors.PlatformError as error:
            return objects.AnswerLost(str(error))

    async def _call(
        self,
        method: str,
        target: str,
        timeout_s: float | None = None,
        data: bytes = b"",
    ) -> _StoreAnswer:
        """Sends a call and returns its answer.

        `timeout_s` replaces `call_timeout_ms` of the settings; None keeps it.

        Raises:
          PlatformUnreachableError: no complete answer within the time-out, or
            one longer than `MAX_ANSWER_BYTES`.
        """
        request = http.Request(
            method, target, self._headers, call_body.BufferedBody(data)
        )
        self.call_count += 1
        try:
            async with (
                asyncio.timeout(timeout_s or self._timeout_s),
                self._connections.send(self._address, request) as answer,
            ):
                data = await http.read_body(answer.body, MAX_ANSWER_BYTES)
                era = http.find_header(answer.headers, ERA_HEADER)
                return _StoreAnswer(answer.status, data, era)
        except (TimeoutError, transport_errors.TransportError) as error:
            # The idle connections may have gone silent together with this one.
            self._connections.close_idle(self._address)
            raise errors.PlatformUnreachableError(
                f"no answer from the platform at {self._address}:"
                f" {error or 'time-out'}"
            ) from error


def split_key(key: str) -> tuple[str, str]:
    """Returns the kind and the percent-encoded name of a key."""
    kind, _, rest = key.partition("/")
    return kind, parse.quote(rest, safe="") or EMPTY_NAME


def _make_target(key: str) -> str:
    """Returns the request target of an object.

    The name from `split_key` is percent-encoded already. In a target it is
    encoded once more, so that the store, which decodes targets once, gets the
    encoded name.
    """
    kind, name = split_key(key)
    return f"{OBJECTS_PATH}{kind}/{parse.quote(name, safe='~')}"


def make_key(kind: str, name: str) -> str:
    """Returns the key of a kind and an encoded name; reverses `split_key`."""
    return f"{kind}/{'' if name == EMPTY_NAME else parse.unquote(name)}"


def _read_object(
    key: str, stored: messages.StoredObject
) -> objects.PlatformObject:
    version = stored.metadata.revision
    if version is None:
        raise errors.PlatformAnswerError(
            f"the platform sent object {key!r} without a revision"
        )
    return objects.PlatformObject(key, version, bytes(stored.spec))


def _read_object_of_kind(
    kind: str, stored: messages.StoredObject
) -> objects.PlatformObject:
    return _read_object(make_key(kind, stored.metadata.name), stored)


def _read_item(kind: str, data: bytes) -> objects.PlatformObject:
    """Decodes an item of a listing."""
    return _read_object_of_kind(kind, _decode(messages.object_decoder, data))


def _read_event(kind: str, data: bytes) -> objects.PlatformObject:
    """Decodes an event of a watch; a deleted object has no value."""
    event = _decode(messages.event_decoder, data)
    item = _read_object_of_kind(kind, event.object)
    return dataclasses.replace(item, value=None) if event.deleted else item


def _decode(
    decoder: "msgspec.json.Decoder[messages.BodyT]", data: bytes
) -> messages.BodyT:
    try:
        return decoder.decode(data)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.PlatformMalformedError(
            f"the platform's answer can't be read: {error}"
        ) from error


def _check_status(status: int) -> None:
    """Raises an error unless the status is 200."""
    match status:
        case 200:
            return
        case 401 | 403:
            raise errors.PlatformDeniedError(
                f"the platform rejected the credential with status {status}"
            )
        case _:
            raise errors.PlatformAnswerError(
                f"the platform answered with status {status}, expected 200"
            )


def _read_reply(status: int, data: bytes) -> objects.WriteReply:
    if status in (_OK, _CREATED):
        return objects.Stored(_read_revision(data))
    if status == _CONFLICT:
        return objects.Conflict(_read_revision(data))
    if status == _NOT_FOUND:
        return objects.Conflict(objects.NOT_STORED)
    if status in _DENIED_WRITE_STATUSES:
        return objects.Denied(
            data.decode(errors="replace")
            or f"the platform refused the write with status {status}"
        )
    return objects.AnswerLost(
        f"the platform answered a write with status {status}"
    )


def _read_revision(data: bytes) -> int:
    """Returns the object's revision in an answer, `NOT_STORED` if absent."""
    if not data:
        return objects.NOT_STORED
    stored = _decode(messages.object_decoder, data)
    return stored.metadata.revision or objects.NOT_STORED
