"""Health checks of a worker that may not be the present process."""

import asyncio
import dataclasses

import pytest

from kumquatridge.admission import controller as admission_controller
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.workers import own_worker
from kumquatridge.workers import supervisor

ADDRESS = "10.0.0.1:80"
WORKER = own_worker.WorkerIdentity("a", 100, ADDRESS, "shop", 8)
# Started later, when the clock had been set back.
SUCCESSOR = dataclasses.replace(WORKER, started_ms=50)
HEALTHY = supervisor.Healthy("a", 8)
OTHER = supervisor.Healthy("b", 8)
LEAVING = supervisor.Unhealthy("status 503")
LEAVING_REPORT = own_worker.WorkerReport(SUCCESSOR, 9, is_leaving=True)


class FixedHealth:
    """Answers all checks with `health`."""

    def __init__(self) -> None:
        self.health: supervisor.Health = HEALTHY
        self.check_count = 0

    async def check(self, service: str, address: str) -> supervisor.Health:
        """Returns `health`."""
        self.check_count += 1
        return self.health


def make_supervisor(health: FixedHealth) -> supervisor.WorkerSupervisor:
    own = members.Member("m", 1, "north", "10.0.0.1:1", "10.0.0.1:2", None)
    return supervisor.WorkerSupervisor(
        own_worker.OwnWorker("shop", ADDRESS),
        table.MemberTable(own),
        admission_controller.AdmissionController(8),
        health,
        lambda: None,
    )


# Guards against a worker that goes on receiving calls, though it is leaving,
# because its report seems to come from an earlier process.
@pytest.mark.looptime
@pytest.mark.parametrize(
    ("health", "serving_worker"),
    [
        pytest.param(HEALTHY, "a", id="another process had left"),
        pytest.param(OTHER, "b", id="the other process is there"),
        pytest.param(LEAVING, None, id="this worker is leaving"),
    ],
)
@pytest.mark.parametrize("is_departure", [False, True])
async def test_leaving_of_an_unknown_process_is_checked_at_once(
    health: supervisor.Health, serving_worker: str | None, is_departure: bool
) -> None:
    checks = FixedHealth()
    async with make_supervisor(checks) as tested:
        tested.handle_report(own_worker.WorkerReport(WORKER, 1, False))
        await asyncio.sleep(0.01)
        assert tested.worker.get_serving() == WORKER
        # In use beyond doubt: no more checks.
        await asyncio.sleep(1.0)
        assert checks.check_count <= 2
        checks.health = health
        if is_departure:
            tested.handle_departure("a", SUCCESSOR.started_ms)
        else:
            tested.handle_report(LEAVING_REPORT)
        await asyncio.sleep(0.01)
        serving = tested.worker.get_serving()
        assert (serving.worker if serving else None) == serving_worker
