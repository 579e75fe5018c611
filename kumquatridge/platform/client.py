"""The platform's object API over HTTP."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import types
from typing import Self
from urllib import parse

import httpx
import msgspec

from kumquatridge.platform import errors
from kumquatridge.platform import messages
from kumquatridge.platform import objects

MAX_CONNECTIONS = 4
WATCH_GRACE_S = 2.0


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
        self._timeout_s = settings.call_timeout_ms / 1000.0
        headers = {}
        if settings.token is not None:
            headers["Authorization"] = f"Bearer {settings.token}"
        self._http = httpx.AsyncClient(
            base_url=f"http://{settings.address}/v1",
            headers=headers,
            timeout=httpx.Timeout(self._timeout_s),
            limits=httpx.Limits(max_connections=MAX_CONNECTIONS),
            trust_env=False,
        )

    async def __aenter__(self) -> Self:
        """Opens the client; connections are made on the first calls."""
        await self._http.__aenter__()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Closes all connections."""
        await self._http.__aexit__(error_type, error, traceback)

    async def get(self, key: str) -> objects.PlatformObject | None:
        """Returns an object, or None when there is none."""
        async with _reading(self._timeout_s):
            answer = await self._http.get(_make_path(key))
            if answer.status_code == httpx.codes.NOT_FOUND:
                return None
            _check(answer)
            version = _read_version(answer)
            return objects.PlatformObject(key, version, answer.content)

    async def put(
        self, key: str, value: bytes, expected_version: int
    ) -> objects.WriteReply:
        """Stores a value if the object has the version expected."""
        return await self._write("PUT", key, expected_version, value)

    async def delete(
        self, key: str, expected_version: int
    ) -> objects.WriteReply:
        """Deletes an object if it has the version expected."""
        return await self._write("DELETE", key, expected_version, None)

    async def list_objects(self, prefix: str) -> objects.Listing:
        """Returns all objects whose keys start with a prefix."""
        body = await self._list(prefix, "true")
        found = tuple(
            objects.PlatformObject(one.key, one.version, one.value)
            for one in body.objects
        )
        return objects.Listing(found, body.version)

    async def list_versions(
        self, prefix: str
    ) -> tuple[objects.ObjectVersion, ...]:
        """Returns the keys and versions of the objects below a prefix."""
        body = await self._list(prefix, "false")
        return tuple(
            objects.ObjectVersion(one.key, one.version) for one in body.objects
        )

    async def watch(
        self, prefix: str, since_version: int, window_s: float
    ) -> AsyncIterator[objects.PlatformObject]:
        """Yields each change after a version; ends after the window."""
        parameters = {
            "prefix": prefix,
            "since": str(since_version),
            "window_ms": str(round(window_s * 1000)),
        }
        deadline_s = window_s + WATCH_GRACE_S
        timeout = httpx.Timeout(self._timeout_s, read=deadline_s)
        async with (
            _reading(deadline_s),
            self._http.stream(
                "GET", "/watch", params=parameters, timeout=timeout
            ) as answer,
        ):
            _check(answer)
            async for line in answer.aiter_lines():
                one = messages.line_decoder.decode(line)
                yield objects.PlatformObject(one.key, one.version, one.value)

    async def _list(self, prefix: str, values: str) -> messages.ListingBody:
        async with _reading(self._timeout_s):
            answer = await self._http.get(
                "/objects", params={"prefix": prefix, "values": values}
            )
            _check(answer)
            return messages.listing_decoder.decode(answer.content)

    async def _write(
        self, method: str, key: str, expected_version: int, value: bytes | None
    ) -> objects.WriteReply:
        try:
            async with asyncio.timeout(self._timeout_s):
                answer = await self._http.request(
                    method,
                    _make_path(key),
                    content=value,
                    headers=_make_condition(expected_version),
                )
            return _read_reply(answer)
        except (httpx.HTTPError, TimeoutError, errors.PlatformError) as error:
            return objects.AnswerLost(_describe(error))


@contextlib.asynccontextmanager
async def _reading(timeout_s: float) -> AsyncIterator[None]:
    try:
        async with asyncio.timeout(timeout_s):
            yield
    except (httpx.HTTPError, TimeoutError) as error:
        raise errors.PlatformUnreachableError(_describe(error)) from error
    except msgspec.MsgspecError as error:
        raise errors.PlatformAnswerError(
            f"the platform's answer can't be read: {error}"
        ) from error


def _describe(error: Exception) -> str:
    return f"no answer from the platform: {error or type(error).__name__}"


def _make_path(key: str) -> str:
    return f"/objects/{parse.quote(key)}"


def _make_condition(expected_version: int) -> dict[str, str]:
    if expected_version == objects.NOT_STORED:
        return {"If-None-Match": "*"}
    return {"If-Match": f'"{expected_version}"'}


def _check(answer: httpx.Response) -> None:
    match answer.status_code:
        case httpx.codes.OK:
            return
        case httpx.codes.UNAUTHORIZED | httpx.codes.FORBIDDEN:
            raise errors.PlatformDeniedError(
                "the platform refused the credential"
            )
        case status:
            raise errors.PlatformAnswerError(
                f"the platform answered with status {status}"
            )


def _read_version(answer: httpx.Response) -> int:
    tag = answer.headers.get("ETag", "").strip('"')
    if not tag.isdecimal():
        raise errors.PlatformAnswerError("the platform sent no version")
    return int(tag)


def _read_reply(answer: httpx.Response) -> objects.WriteReply:
    match answer.status_code:
        case httpx.codes.OK:
            return objects.Stored(_read_version(answer))
        case httpx.codes.PRECONDITION_FAILED:
            return objects.Conflict(_read_version(answer))
        case (
            httpx.codes.BAD_REQUEST
            | httpx.codes.UNAUTHORIZED
            | httpx.codes.FORBIDDEN
            | httpx.codes.REQUEST_ENTITY_TOO_LARGE
        ):
            return objects.Denied(_read_detail(answer))
        case status:
            return objects.AnswerLost(
                f"the platform answered with status {status}"
            )


def _read_detail(answer: httpx.Response) -> str:
    try:
        return msgspec.json.decode(
            answer.content, type=messages.ErrorBody
        ).detail
    except msgspec.MsgspecError:
        return f"the platform answered with status {answer.status_code}"
