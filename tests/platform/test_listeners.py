"""When a stopping daemon accepts requests, in virtual time."""

import asyncio

import pytest

from kumquatridge.platform import listeners
from kumquatridge.transport import http_listener
from kumquatridge.transport import messages as http
from tests import processes

# Its half lies between two checks of the drain, which are 50 ms apart.
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
    ("at_s", "accepts"),
    [
        pytest.param(0.0, True, id="at the start"),
        pytest.param(2.96, True, id="in the first half"),
        pytest.param(2.99, False, id="in the second half"),
        pytest.param(5.2, False, id="after the drain"),
    ],
)
async def test_requests_are_accepted_in_the_first_half_of_the_grace_period(
    at_s: float, accepts: bool
) -> None:
    async with listeners.DaemonListeners() as opened:
        busy = BusyListener(processes.get_free_address(), handle)
        opened._listeners.append(busy)
        assert opened.accepts_requests
        draining = asyncio.create_task(opened.drain(GRACE_MS))
        await asyncio.sleep(at_s)
        assert opened.accepts_requests is accepts
        await draining
        assert not opened.accepts_requests
