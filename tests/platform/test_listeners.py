"""When a stopping daemon accepts requests, in virtual time."""

import asyncio

import pytest

from kumquatridge.admission import connection_limits
from kumquatridge.platform import listeners
from kumquatridge.transport import http_listener
from kumquatridge.transport import messages as http
from tests import calls_factory
from tests import processes

# The drain ends 0.9 s before the end of the grace period.
GRACE_MS = 5950.0


async def handle(
    request: http.Request, responder: http_listener.Responder
) -> None:
    """Is never called."""


class BusyListener(http_listener.HttpListener):
    """A listener with a request in progress."""

    @property
    def is_idle(self) -> bool:
        """Returns False."""
        return False


# Guards against a request that is taken too late to be completed before the end
# of the grace period.
@pytest.mark.looptime
@pytest.mark.parametrize(
    ("at_s", "deadline_ms", "accepts"),
    [
        pytest.param(0.0, 60_000, True, id="at the start"),
        pytest.param(2.49, 60_000, True, id="before callers notice"),
        pytest.param(2.51, 60_000, False, id="after callers have noticed"),
        pytest.param(2.51, 2500, True, id="ends before the drain"),
        pytest.param(2.56, 2500, False, id="may end after the drain"),
        pytest.param(2.96, 3000, False, id="in the first half"),
        pytest.param(4.53, 500, True, id="late, ends before the drain"),
        pytest.param(4.57, 500, False, id="late, may end after the drain"),
        pytest.param(5.2, 1, False, id="after the drain"),
    ],
)
async def test_requests_are_accepted_if_they_end_before_the_drain(
    at_s: float, deadline_ms: int, accepts: bool
) -> None:
    given_up_s: list[float] = []
    loop = asyncio.get_running_loop()

    def give_up_calls() -> None:
        given_up_s.append(loop.time() - started_s)

    def is_accepted() -> bool:
        call = calls_factory.make_call(remaining_ms=deadline_ms)
        return opened.accepts(call)

    async with listeners.DaemonListeners(
        connection_limits.ConnectionLimiter()
    ) as opened:
        busy = BusyListener(processes.get_free_address(), handle)
        opened._listeners.append(busy)
        assert is_accepted()
        started_s = loop.time()
        draining = asyncio.create_task(opened.drain(GRACE_MS, give_up_calls))
        await asyncio.sleep(at_s)
        assert is_accepted() is accepts
        await draining
        assert not is_accepted()
    assert given_up_s == [pytest.approx(5.05)]
