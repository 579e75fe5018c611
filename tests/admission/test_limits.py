"""The limit of a worker that bears less than it announced."""

import asyncio
from collections.abc import Callable
import random

import pytest

from kumquatridge.admission import controller as admission_controller
from kumquatridge.calls import call as calls
from tests import calls_factory
from tests.admission import open_loop

SLOTS = 60
KNEE = 20
SERVICE_MS = 20.0


def get_contended_ms(_: float, running: int) -> float:
    """Beyond the knee calls only stand in each other's way."""
    factor_ratio: float = max(1.0, running / KNEE) ** 1.2
    return SERVICE_MS * factor_ratio


def get_slowed_ms(elapsed_s: float, _: int) -> float:
    """Ten times slower after a second, however many calls run."""
    return SERVICE_MS * (10.0 if elapsed_s > 1.0 else 1.0)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("get_ms", "least", "most"),
    [
        pytest.param(get_contended_ms, 10, 48, id="contention lowers it"),
        pytest.param(get_slowed_ms, 60, 60, id="a slow neighbour does not"),
    ],
)
async def test_limit_after_overload(
    get_ms: Callable[[float, int], float], least: int, most: int
) -> None:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    rng = random.Random(1)
    controller = admission_controller.AdmissionController(SLOTS)
    worker = open_loop.GuardedWorker(
        controller, lambda _, running: get_ms(loop.time() - started_s, running)
    )
    phases = [
        open_loop.Phase(KNEE * 500.0 / SERVICE_MS, 1.0),
        open_loop.Phase(KNEE * 2000.0 / SERVICE_MS, 6.0),
    ]

    def make() -> calls.Call:
        return calls_factory.make_call(root_id=str(rng.random()))

    await open_loop.send(worker, phases, make, rng)
    assert least <= controller.limit <= most
