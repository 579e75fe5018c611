"""The memory of `kumquatridge.daemon`, whose listeners are of its libraries."""

import pathlib

import pytest

from kumquatridge.benchmarks import processes as daemon_processes
from tests import processes
from tests.crowds import clients
from tests.crowds import machines as crowd_machines
from tests.crowds import test_crowds

# What a daemon may use for control at the size that decides the design; one at
# rest takes 64 MB.
MAX_BYTES = 128 * 1024 * 1024
PATH = "/ordering/x"
BODY = b"x" * 60_000
LENGTH = b"Content-Length: %d" % len(BODY)
ENDLESS = b"ab:c\r\n" * 10_000_000
make_request = test_crowds.make_request
CALLERS = "caller_address"
DAEMONS = "call_address"
OPERATORS = "operator_address"


def make_pipelined(number: int) -> bytes:
    """Returns requests that don't wait for the answers to those before."""
    return make_request(PATH, LENGTH, body=BODY)(number) * 16


TRAILERS = make_request(
    PATH, test_crowds.CHUNKED, body=b"1\r\nx\r\n0\r\n" + b"ab:c\r\n" * 200_000
)


@pytest.mark.crowd
@pytest.mark.parametrize(
    ("address", "make_bytes"),
    [
        pytest.param(
            CALLERS,
            lambda number: clients.make_head(
                PATH, number, *test_crowds.TINY_LINES
            ),
            id="tiny header lines",
        ),
        pytest.param(
            CALLERS,
            make_request(PATH, LENGTH, body=BODY[:-1]),
            id="bodies short of their end",
        ),
        pytest.param(
            CALLERS,
            make_request(PATH, test_crowds.LENGTH, body=test_crowds.BODY[:-1]),
            id="long bodies short of their end",
        ),
        pytest.param(CALLERS, TRAILERS, id="trailers, callers"),
        pytest.param(DAEMONS, TRAILERS, id="trailers, daemons"),
        pytest.param(OPERATORS, TRAILERS, id="trailers, operators"),
        pytest.param(CALLERS, make_pipelined, id="pipelined, callers"),
        pytest.param(DAEMONS, make_pipelined, id="pipelined, daemons"),
        pytest.param(OPERATORS, make_pipelined, id="pipelined, operators"),
    ],
)
async def test_memory_of_the_daemon_stays_within_its_bound(
    address: str, make_bytes: clients.Maker, tmp_path: pathlib.Path
) -> None:
    settings = processes.make_settings("ordering-1")
    crowd = clients.Crowd(0, address, make_bytes)
    async with daemon_processes.run_daemon(settings, tmp_path) as process:
        async with clients.open_crowd(
            crowd, getattr(settings, address), test_crowds.CLIENTS
        ):
            peak_bytes = crowd_machines.get_peak_bytes(process.pid)
        assert process.is_running()
    assert peak_bytes <= MAX_BYTES


# Guards against a single client that ends the process.
@pytest.mark.crowd
@pytest.mark.parametrize("address", [CALLERS, DAEMONS, OPERATORS])
@pytest.mark.parametrize(
    "start",
    [
        pytest.param(b"GET / HTTP/1.1\r\n", id="a head"),
        pytest.param(
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\nx\r\n0\r\n",
            id="trailers",
        ),
    ],
)
async def test_header_lines_without_end_are_not_kept(
    address: str, start: bytes, tmp_path: pathlib.Path
) -> None:
    settings = processes.make_settings("ordering-1")
    crowd = clients.Crowd(0, address, lambda _: start + ENDLESS)
    async with daemon_processes.run_daemon(settings, tmp_path) as process:
        async with clients.open_crowd(crowd, getattr(settings, address), 1):
            peak_bytes = crowd_machines.get_peak_bytes(process.pid)
        assert process.is_running()
    assert peak_bytes <= MAX_BYTES
