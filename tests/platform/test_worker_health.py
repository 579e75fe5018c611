"""Health checks of a worker that sends bytes without end."""

import asyncio
import json

import pytest

from kumquatridge.platform import configuration
from kumquatridge.platform import worker_link
from kumquatridge.settings import route_store
from kumquatridge.transport import connection
from kumquatridge.workers import supervisor
from tests.transport import scripted

CONFIGURATION = {
    "version": 1,
    "routes": [],
    "services": [{"name": "shop", "healthPath": "/healthz"}],
}
HEAD = b"HTTP/1.1 200 OK\r\nInstance-Id: w\r\nServer-Load: 0,0,8,100\r\n"
FILLER_BYTES = 16 * 1024
FILLER_COUNT = 16 * connection.MAX_OVERHEAD_BYTES // FILLER_BYTES


# Guards against an answer without end to a health check that is kept, or that
# holds the check up.
@pytest.mark.parametrize(
    ("start", "part", "is_healthy"),
    [
        pytest.param(b"", b"\x00\xff", False, id="no answer"),
        pytest.param(HEAD, b"a:\r\n", False, id="headers"),
        pytest.param(HEAD + b"a: ", b"x", False, id="one header"),
        pytest.param(HEAD + b"\r\n", b"x", True, id="a body"),
        pytest.param(
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
            b"2\r\nxy\r\n",
            True,
            id="a body in chunks of 2 bytes",
        ),
    ],
)
async def test_health_check_reads_no_answer_without_end(
    start: bytes, part: bytes, is_healthy: bool
) -> None:
    store = route_store.RouteStore()
    table = configuration.decode_configuration(
        json.dumps(CONFIGURATION).encode()
    )
    store.apply(table, "test")
    filler = part * (FILLER_BYTES // len(part))
    async with scripted.run_scripted(
        scripted.Read(),
        scripted.Send(start),
        *[scripted.Send(filler)] * FILLER_COUNT,
    ) as (_, address):
        # Before the time-out of the check.
        async with asyncio.timeout(0.9 * worker_link.HEALTH_TIMEOUT_S):
            health = await worker_link.HttpHealthCheck(store).check(
                "shop", address
            )
    assert isinstance(health, supervisor.Healthy) is is_healthy
