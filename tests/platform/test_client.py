"""The HTTP client against the stand-in of the platform's store."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
import contextlib

import pytest

from kumquatridge.platform import client as platform_client
from kumquatridge.platform import errors
from kumquatridge.platform import objects
from kumquatridge.standins import platform as platform_standin
from kumquatridge.standins import platform_store
from tests import processes
from tests.transport import scripted

Faults = platform_store.PlatformFaults
# Time-out of the client's calls.
TIMEOUT_MS = 300


def make_value(size_bytes: int) -> bytes:
    """Returns a JSON string of `size_bytes` bytes, quotes included."""
    return b'"%b"' % (b"x" * (size_bytes - 2))


@contextlib.asynccontextmanager
async def connect(
    store: platform_store.PlatformStore, token: str | None = None
) -> AsyncIterator[platform_client.PlatformClient]:
    """Serves a store on a free address and connects a client."""
    address = processes.get_free_address()
    settings = platform_client.ClientSettings(address, token, TIMEOUT_MS)
    async with (
        platform_standin.PlatformServer(address, store),
        platform_client.PlatformClient(settings) as client,
    ):
        yield client


@pytest.mark.parametrize(
    ("key", "value", "expected_version", "reply"),
    # The object "a/b" exists with version 1, so a write gets version 2. Version
    # 0 means that there is no object.
    [
        pytest.param("a/new", b'"x"', 0, objects.Stored(2), id="new object"),
        pytest.param(
            "a/ä ?", b'"x"', 0, objects.Stored(2), id="key needs quoting"
        ),
        pytest.param("a/b", b'"x"', 1, objects.Stored(2), id="replaced"),
        pytest.param("a/b", b'"x"', 0, objects.Conflict(1), id="object exists"),
        pytest.param("a/b", b'"x"', 7, objects.Conflict(1), id="wrong version"),
        pytest.param(
            "a/new", b'"x"', 7, objects.Conflict(0), id="object missing"
        ),
        pytest.param(
            "b/c",
            b'"x"',
            0,
            objects.Denied("this credential may write only below a/"),
            id="prefix not writable",
        ),
        pytest.param(
            "a/big",
            make_value(objects.MAX_VALUE_BYTES),
            0,
            objects.Stored(2),
            id="a megabyte",
        ),
    ],
)
async def test_write_stores_only_on_expected_version_and_permission(
    key: str, value: bytes, expected_version: int, reply: objects.WriteReply
) -> None:
    # The token may write below "a/".
    store = platform_store.PlatformStore({"token": "a/"})
    await store.connect("token").put("a/b", b'"old"', 0)
    async with connect(store, "token") as client:
        assert await client.put(key, value, expected_version) == reply
        match reply:
            case objects.Stored(version):
                expected = objects.PlatformObject(key, version, value)
                assert await client.get(key) == expected
            case _:
                listing = await client.list_objects("a/")
                assert [item.value for item in listing.objects] == [b'"old"']
                assert not (await client.list_objects("b/")).objects


async def test_write_of_more_than_a_megabyte_is_denied() -> None:
    async with connect(platform_store.PlatformStore()) as client:
        value = make_value(objects.MAX_VALUE_BYTES + 1)
        reply = await client.put("a", value, 0)
        assert type(reply) is objects.Denied
        assert await client.get("a") is None


async def test_listing_and_watch_reflect_writes_and_deletes() -> None:
    store = platform_store.PlatformStore()
    async with connect(store) as client:
        await client.put("a/1", b"1", 0)
        await client.put("b/1", b"2", 0)
        listing = await client.list_objects("a/")
        assert listing.objects == (objects.PlatformObject("a/1", 1, b"1"),)
        assert listing.version == 2
        assert await client.list_versions("b/") == (
            objects.ObjectVersion("b/1", 2),
        )
        assert await client.delete("a/1", 1) == objects.Stored(3)
        await client.put("a/2", b"3", 0)
        # The changes after version 1 that arrive within 0.2 s.
        seen = [item async for item in client.watch("a/", 1, 0.2)]
        assert seen == [
            objects.PlatformObject("a/1", 3, None),
            objects.PlatformObject("a/2", 4, b"3"),
        ]


async def test_waiting_watch_yields_a_change() -> None:
    store = platform_store.PlatformStore()
    async with connect(store) as client:
        changes = client.watch("a/", 0, 5.0)
        change = asyncio.ensure_future(anext(changes))
        # Time in which the watch arrives at the store.
        await asyncio.sleep(0.1)
        assert store.meter.waiting_watches == 1
        await client.put("a/1", b"1", 0)
        assert await change == objects.PlatformObject("a/1", 1, b"1")


@pytest.mark.parametrize(
    # `applied` says whether the write took effect at the store.
    ("faults", "applied"),
    [
        pytest.param(Faults(down=True), False, id="store down"),
        pytest.param(Faults(lose_answers=1), True, id="answer lost"),
        pytest.param(Faults(delay_ms=TIMEOUT_MS * 3), False, id="too slow"),
    ],
)
async def test_write_without_answer_returns_answer_lost(
    faults: platform_store.PlatformFaults, applied: bool
) -> None:
    store = platform_store.PlatformStore()
    async with connect(store) as client:
        store.set_faults(faults)
        reply = await client.put("a", b"1", 0)
        assert type(reply) is objects.AnswerLost
        store.set_faults(platform_store.NO_FAULTS)
        assert (await client.get("a") is not None) is applied


async def get(client: platform_client.PlatformClient) -> object:
    return await client.get("a")


async def list_objects(client: platform_client.PlatformClient) -> object:
    return await client.list_objects("a")


async def watch(client: platform_client.PlatformClient) -> object:
    return await anext(client.watch("a", 0, 0.1))


DOWN = Faults(down=True)
SLOW = Faults(delay_ms=TIMEOUT_MS * 3)
# The delay is twice the time that the client waits beyond the watch (0.1 s).
SLOW_WATCH = Faults(delay_ms=platform_client.WATCH_GRACE_S * 2_000)


@pytest.mark.parametrize(
    ("faults", "read"),
    [
        pytest.param(DOWN, get, id="get while down"),
        pytest.param(DOWN, list_objects, id="list while down"),
        pytest.param(DOWN, watch, id="watch while down"),
        pytest.param(SLOW, get, id="get too slow"),
        pytest.param(SLOW, list_objects, id="list too slow"),
        pytest.param(SLOW_WATCH, watch, id="watch too slow"),
    ],
)
async def test_read_without_answer_raises_unreachable(
    faults: platform_store.PlatformFaults,
    read: Callable[[platform_client.PlatformClient], Awaitable[object]],
) -> None:
    store = platform_store.PlatformStore()
    async with connect(store) as client:
        store.set_faults(faults)
        with pytest.raises(errors.PlatformUnreachableError):
            await read(client)


# Guards against calls that are sent on further silent connections one by one,
# after a time-out has shown that connections to the store have gone silent.
async def test_call_after_a_time_out_uses_a_new_connection() -> None:
    body = b'{"metadata":{"name":"x","revision":1},"spec":1}'
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    # Each connection is silent after its first answer.
    steps = (scripted.Read(), scripted.Send(head.encode() + body))
    async with scripted.run_scripted(*steps) as (server, address):
        settings = platform_client.ClientSettings(address, None, TIMEOUT_MS)
        async with platform_client.PlatformClient(settings) as client:
            await asyncio.gather(*(client.get("a/x") for _ in range(3)))
            assert server.connection_count == 3
            with pytest.raises(errors.PlatformUnreachableError):
                await client.get("a/x")
            assert await client.get("a/x") is not None


async def test_listing_of_several_pages_is_complete() -> None:
    store = platform_store.PlatformStore()
    names = [
        f"n{number:04}" for number in range(platform_standin.PAGE_ITEMS + 3)
    ]
    for name in names:
        await store.connect().put(f"a/{name}", b"1", 0)
    async with connect(store) as client:
        listing = await client.list_objects("a/")
        assert [item.key for item in listing.objects] == [
            f"a/{name}" for name in names
        ]


async def test_watch_from_an_expired_version_raises_history_lost() -> None:
    store = platform_store.PlatformStore()
    async with connect(store) as client:
        await client.put("a/1", b"1", 0)
        store.forget_history()
        with pytest.raises(errors.PlatformHistoryLostError):
            await client.wait_for_changes("a/", 0, 1.0)


async def test_call_refused_by_a_busy_store_changes_nothing() -> None:
    store = platform_store.PlatformStore()
    async with connect(store) as client:
        store.set_faults(Faults(busy=True))
        reply = await client.put("a/1", b"1", 0)
        assert type(reply) is objects.AnswerLost
        with pytest.raises(errors.PlatformAnswerError):
            await client.get("a/1")
        store.set_faults(platform_store.NO_FAULTS)
        assert await client.get("a/1") is None


# Guards against an answer of the store without end that is read whole.
@pytest.mark.parametrize(
    "start",
    [
        pytest.param(b"Transfer-Encoding: chunked\r\n\r\n", id="chunks"),
        pytest.param(b"\r\n", id="until the connection closes"),
        pytest.param(b"Content-Length: 99999999999\r\n\r\n", id="a length"),
    ],
)
@pytest.mark.parametrize(
    "call",
    [
        pytest.param(lambda client: client.get("a/b"), id="read"),
        pytest.param(lambda client: client.list_objects("a/"), id="list"),
        pytest.param(
            lambda client: client.wait_for_changes("a/", 1, 30.0), id="watch"
        ),
    ],
)
async def test_answer_without_end_is_not_read(
    start: bytes,
    call: Callable[[platform_client.PlatformClient], Awaitable[object]],
) -> None:
    chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
    # Twice as much as is read.
    count = 2 * platform_client.MAX_ANSWER_BYTES // len(chunk)
    steps: tuple[scripted.Step, ...] = (
        scripted.Read(),
        scripted.Send(b"HTTP/1.1 200 OK\r\n" + start),
        *[scripted.Send(chunk)] * count,
    )
    async with scripted.run_scripted(*steps) as (_, address):
        settings = platform_client.ClientSettings(address, None, 30_000)
        async with platform_client.PlatformClient(settings) as client:
            with pytest.raises(errors.PlatformError, match="a body longer"):
                # Well before the time-out of the call.
                async with asyncio.timeout(5.0):
                    await call(client)
