"""The limit of a worker with less capacity than it announced."""

import asyncio
from collections.abc import Callable
import random

import pytest

from kumquatridge.admission import controller as admission_controller
from kumquatridge.calls import call as calls
from tests import calls_factory
from tests.admission import open_loop

SLOTS = 60
# With more calls in progress, the simulated worker slows down.
CONTENTION_FREE_CALLS = 20
SERVICE_MS = 20.0


def get_contended_ms(_: float, running: int) -> float:
    """Returns a service time that grows with contention between calls.

    With an exponent above 1, more concurrent calls lower the throughput.
    """
    slowdown_ratio: float = max(1.0, running / CONTENTION_FREE_CALLS) ** 1.2
    return SERVICE_MS * slowdown_ratio


def get_slowed_ms(elapsed_s: float, _: int) -> float:
    """Returns a ten times longer time after 1 s, whatever the concurrency."""
    return SERVICE_MS * (10.0 if elapsed_s > 1.0 else 1.0)


# With contention, the limit must end between half of `CONTENTION_FREE_CALLS`
# and four fifths of `SLOTS`.
@pytest.mark.looptime
@pytest.mark.parametrize(
    ("get_ms", "min_limit", "max_limit"),
    [
        pytest.param(
            get_contended_ms, 10, 48, id="contention lowers the limit"
        ),
        pytest.param(
            get_slowed_ms, 60, 60, id="noisy neighbour keeps the limit"
        ),
    ],
)
async def test_limit_falls_only_on_contention_between_calls(
    get_ms: Callable[[float, int], float], min_limit: int, max_limit: int
) -> None:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    rng = random.Random(1)
    controller = admission_controller.AdmissionController(SLOTS)
    worker = open_loop.SimulatedWorker(
        controller, lambda _, running: get_ms(loop.time() - started_s, running)
    )
    # Half of the throughput of the contention-free calls, then twice it.
    phases = [
        open_loop.Phase(CONTENTION_FREE_CALLS * 500.0 / SERVICE_MS, 1.0),
        open_loop.Phase(CONTENTION_FREE_CALLS * 2000.0 / SERVICE_MS, 6.0),
    ]

    def make() -> calls.Call:
        return calls_factory.make_call(root_id=str(rng.random()))

    await open_loop.send(worker, phases, make, rng)
    assert min_limit <= controller.limit <= max_limit
