"""Control messages over HTTP, on connections that go silent."""

import asyncio

import pytest

from kumquatridge.membership import errors
from kumquatridge.membership import messages as membership_messages
from kumquatridge.membership import recorder
from kumquatridge.peers import http_link
from kumquatridge.peers import messages
from kumquatridge.transport import http_listener
from kumquatridge.transport import pool
from tests import processes
from tests.transport import scripted

TIMEOUT_MS = 300
HEARTBEAT = membership_messages.Heartbeat("a", (), ())


# Guards against a live peer that is taken for dead, because requests are sent
# on its silent connections one by one.
async def test_request_after_a_time_out_uses_a_new_connection() -> None:
    data = messages.encode(HEARTBEAT)
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n"
    # Each connection is silent after its first answer.
    steps = (scripted.Read(), scripted.Send(head.encode() + data))
    async with (
        scripted.run_scripted(*steps) as (server, address),
        pool.ConnectionPool() as connections,
    ):
        link = http_link.HttpControlLink(connections, recorder.NoRecorder())
        asked = (link.ask(address, HEARTBEAT, TIMEOUT_MS) for _ in range(3))
        await asyncio.gather(*asked)
        assert server.connection_count == 3
        with pytest.raises(errors.PeerSilentError):
            await link.ask(address, HEARTBEAT, TIMEOUT_MS)
        assert await link.ask(address, HEARTBEAT, TIMEOUT_MS) == HEARTBEAT


def make_answer(data: bytes) -> bytes:
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


# Guards against a route table that no daemon gets from another, because it is
# longer than a body that is read at once (`incoming_body.MAX_BUFFERED_BYTES`).
@pytest.mark.parametrize(
    "size_bytes",
    [
        pytest.param(1000, id="read at once"),
        pytest.param(700_000, id="streamed"),
        pytest.param(1_048_576, id="the largest of the platform"),
    ],
)
async def test_long_answer_is_read(size_bytes: int) -> None:
    answer = membership_messages.EntriesAnswer((bytes(size_bytes),))
    data = make_answer(messages.encode(answer))
    middle = len(data) * 3 // 4
    async with (
        scripted.run_scripted(
            scripted.Read(),
            scripted.Send(data[:middle]),
            scripted.Pause(),
            scripted.Send(data[middle:]),
        ) as (_, address),
        pool.ConnectionPool() as connections,
    ):
        link = http_link.HttpControlLink(connections, recorder.NoRecorder())
        assert await link.ask(address, HEARTBEAT, TIMEOUT_MS) == answer


async def test_answer_above_the_limit_is_refused() -> None:
    data = make_answer(bytes(http_link.MAX_MESSAGE_BYTES + 1))
    async with (
        scripted.run_scripted(scripted.Read(), scripted.Send(data)) as (
            _,
            address,
        ),
        pool.ConnectionPool() as connections,
    ):
        link = http_link.HttpControlLink(connections, recorder.NoRecorder())
        with pytest.raises(errors.PeerRefusedError):
            await link.ask(address, HEARTBEAT, TIMEOUT_MS)


class EchoHandler:
    """Answers with the entries of the keys of a request."""

    async def answer(
        self, request: membership_messages.Request
    ) -> membership_messages.Answer:
        """Returns each key as an entry."""
        match request:
            case membership_messages.EntriesRequest(_, keys):
                return membership_messages.EntriesAnswer(
                    tuple(key.encode() for key in keys)
                )
            case _:
                return HEARTBEAT


# Guards against a long request that is rejected as malformed.
@pytest.mark.parametrize(
    ("size_bytes", "is_answered"),
    [
        pytest.param(700_000, True, id="streamed"),
        pytest.param(http_link.MAX_MESSAGE_BYTES, False, id="too long"),
    ],
)
async def test_long_request_is_answered(
    size_bytes: int, is_answered: bool
) -> None:
    address = processes.get_free_address()
    endpoint = http_link.ControlEndpoint(EchoHandler())
    request = membership_messages.EntriesRequest(1, ("k" * size_bytes,))
    async with (
        http_listener.HttpListener(address, endpoint.handle),
        pool.ConnectionPool() as connections,
    ):
        link = http_link.HttpControlLink(connections, recorder.NoRecorder())
        try:
            await link.ask(address, request, TIMEOUT_MS)
        except errors.PeerRefusedError:
            assert not is_answered
        else:
            assert is_answered
