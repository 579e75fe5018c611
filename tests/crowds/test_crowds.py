"""A daemon stays within its memory and descriptors, whatever clients send."""

import dataclasses
import pathlib

import pytest

from kumquatridge.encoding import call_codec
from kumquatridge.transport import frames
from tests import calls_factory
from tests.crowds import clients
from tests.crowds import machines as crowd_machines
from tests.platform import deployment as deployments

# The crowd and the limits of the machines. An idle daemon takes about 34 MB.
CLIENTS = 300
LIMITS = crowd_machines.MachineLimits(memory_mb=96, max_descriptors=650)
MB_BYTES = 1024 * 1024
MAX_HEADER_BYTES = 16 * 1024
SLOTS = 512
# An ordinary caller that is refused comes back this often at most.
ORDINARY_ATTEMPTS = 5
BODY = b"x" * 500_000
LENGTH = b"Content-Length: %d" % len(BODY)
LONG_LENGTH = b"Content-Length: 4000000"
CHUNKED = b"Transfer-Encoding: chunked"
# Short lines that fill a head up to its limit.
TINY_LINES = (b"ab:c",) * ((MAX_HEADER_BYTES - 400) // 7)
ODD_LINES = tuple(
    b"%x:\t%c" % (number, 0x80 + number % 0x7F) for number in range(1800)
)
TINY_CHUNKS = b"2\r\nxy\r\n" * 65_000


def make_request(path: str, *lines: bytes, body: bytes = b"") -> clients.Maker:
    """Returns what a client of a number sends: a head and a body."""
    return lambda number: (
        clients.make_head(path, number, *lines) + b"\r\n" + body
    )


def make_unfinished_head(*lines: bytes) -> clients.Maker:
    """Returns what a client sends that never ends its head."""
    return lambda number: clients.make_head("/near/x", number, *lines)


def make_frame(frame_type: frames.FrameType, head: bytes, body: bytes) -> bytes:
    """Returns a frame of a daemon."""
    return frames.HEADER.pack(frame_type, len(head), len(body)) + head + body


def make_call_frame(number: int) -> bytes:
    """Returns the start of a streamed call with tiny header lines."""
    call = dataclasses.replace(
        calls_factory.make_call(
            policy=dataclasses.replace(calls_factory.POLICY, service="far")
        ),
        service="far",
        headers=(("a", "b"),) * 60_000,
    )
    head = call_codec.encode_call(call, f"machine-{number}")
    return make_frame(frames.FrameType.STREAMED, head, b"")


def make_pipelined(number: int) -> bytes:
    """Returns a request, and long ones behind it."""
    first = clients.make_head("/near/slow", number, method="GET") + b"\r\n"
    second = clients.make_head("/near/x", number, LENGTH) + b"\r\n" + BODY
    return first + second * 4


def make_long_id(number: int) -> bytes:
    """Returns requests with long ids, which differ."""
    return b"".join(
        b"GET /near/x HTTP/1.1\r\nHost: %b\r\nRequest-Id: %d.%d.%b\r\n\r\n"
        % (deployments.HOST.encode(), number, index, b"i" * 15_000)
        for index in range(16)
    )


def at_callers(
    make_bytes: clients.Maker, *, reads_nothing: bool = False
) -> clients.Crowd:
    """Returns a crowd of callers."""
    return clients.Crowd(0, "callers", make_bytes, reads_nothing)


CROWDS = [
    pytest.param(
        at_callers(make_unfinished_head(*TINY_LINES)), id="tiny header lines"
    ),
    pytest.param(
        at_callers(make_unfinished_head(*ODD_LINES)), id="odd header lines"
    ),
    pytest.param(
        at_callers(make_request("/near/x", *TINY_LINES, LENGTH, body=b"x")),
        id="tiny header lines, unfinished body",
    ),
    pytest.param(
        at_callers(
            make_request(
                "/near/x", CHUNKED, body=b"1\r\nx\r\n0\r\n" + b"ab:c\r\n" * 2300
            )
        ),
        id="trailers",
    ),
    pytest.param(
        at_callers(make_request("/near/x", LENGTH, body=BODY[:-1])),
        id="bodies short of their end",
    ),
    pytest.param(
        at_callers(make_request("/near/x", CHUNKED, body=TINY_CHUNKS)),
        id="tiny chunks short of their end",
    ),
    pytest.param(
        at_callers(make_request("/near/slow", LENGTH, body=BODY)),
        id="whole bodies",
    ),
    pytest.param(
        at_callers(make_request("/far/slow", LENGTH, body=BODY)),
        id="whole bodies to another daemon",
    ),
    pytest.param(
        at_callers(make_request("/far/x", LONG_LENGTH, body=BODY * 7)),
        id="long bodies short of their end",
    ),
    pytest.param(at_callers(make_pipelined), id="pipelined bodies"),
    pytest.param(at_callers(make_long_id), id="long request ids"),
    pytest.param(
        at_callers(make_request("/near/long"), reads_nothing=True),
        id="answers that nobody reads",
    ),
    pytest.param(
        at_callers(make_request("/far/long"), reads_nothing=True),
        id="answers of another daemon that nobody reads",
    ),
    pytest.param(
        clients.Crowd(
            1,
            "daemons",
            lambda _: make_frame(frames.FrameType.WHOLE, b"h", BODY * 2)[:-1],
        ),
        id="frames short of their end",
    ),
    pytest.param(
        clients.Crowd(1, "daemons", make_call_frame),
        id="frames with tiny header lines",
    ),
    *(
        pytest.param(
            clients.Crowd(
                1, listener, make_request("/", LENGTH, body=BODY[:-1])
            ),
            id=f"bodies short of their end, {listener}",
        )
        for listener in ("reports", "control", "readiness", "metrics")
    ),
    pytest.param(
        clients.Crowd(
            1, "control", make_request("/", LONG_LENGTH, body=BODY * 7)
        ),
        id="long bodies short of their end, control",
    ),
]


@pytest.mark.crowd
@pytest.mark.parametrize("crowd", CROWDS)
async def test_memory_stays_within_the_limit(
    crowd: clients.Crowd, tmp_path: pathlib.Path
) -> None:
    async with crowd_machines.open_machines(
        LIMITS, choose_answer, tmp_path, SLOTS, MAX_HEADER_BYTES
    ) as machines:
        address = machines.addresses[crowd.machine][crowd.listener]
        async with clients.open_crowd(crowd, address, CLIENTS):
            statuses = await send_ordinary(machines)
            usages = [machines.measure(number) for number in (0, 1)]
        assert machines.is_running(0) and machines.is_running(1)
        assert statuses == [200, 200]
        for usage in usages:
            assert usage.peak_bytes <= LIMITS.memory_mb * MB_BYTES
            assert usage.descriptors <= LIMITS.max_descriptors


@pytest.mark.crowd
@pytest.mark.parametrize(
    "crowd",
    [
        pytest.param(
            clients.Crowd(1, listener, lambda _: b""), id=f"{listener}, silent"
        )
        for listener in (
            "callers",
            "daemons",
            "reports",
            "control",
            "readiness",
            "metrics",
        )
    ]
    + [
        pytest.param(
            at_callers(make_request("/near/x", LENGTH, body=b"x")),
            id="callers, unfinished bodies",
        )
    ],
)
async def test_descriptors_stay_within_the_limit(
    crowd: clients.Crowd, tmp_path: pathlib.Path
) -> None:
    async with crowd_machines.open_machines(
        LIMITS, choose_answer, tmp_path, SLOTS, MAX_HEADER_BYTES
    ) as machines:
        address = machines.addresses[crowd.machine][crowd.listener]
        count = LIMITS.max_descriptors + CLIENTS
        async with clients.open_crowd(crowd, address, count):
            statuses = await send_ordinary(machines)
            usage = machines.measure(crowd.machine)
        assert machines.is_running(crowd.machine)
        assert statuses == [200, 200]
        assert usage.descriptors <= LIMITS.max_descriptors


def choose_answer(target: str) -> deployments.Behaviour:
    """Returns how a worker answers: slowly, at length or plainly."""
    return deployments.Behaviour(
        work_ms=1000.0 if target.endswith("slow") else 1.0,
        body_bytes=len(BODY) if target.endswith("long") else 0,
    )


async def send_ordinary(machines: crowd_machines.Machines) -> list[int]:
    """Sends an ordinary request to each machine; returns the last statuses.

    The worker is that of the other machine, so that both daemons take part.
    """
    statuses = []
    for number, path in enumerate(("/far/x", "/near/x")):
        status = 0
        for _ in range(ORDINARY_ATTEMPTS):
            status = await machines.send(number, path)
            if status == 200:
                break
        statuses.append(status)
    return statuses
