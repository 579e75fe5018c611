"""When a worker is withdrawn and how it comes back."""

import asyncio
import dataclasses

import pytest

from kumquatridge.admission import controller
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.operators import worker_registry
from tests import processes

BOUND_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """What the worker does and whether its daemon should withdraw it."""

    listens: bool
    lease_ms: int
    renews: bool
    withdrawn: bool


async def wait_for_verdict(
    registry: worker_registry.WorkerRegistry,
    known: table.MemberTable,
    announcement: members.Announcement,
    case: Case,
) -> bool:
    loop = asyncio.get_running_loop()
    until = loop.time() + BOUND_S
    while loop.time() < until and known.own.announcement is not None:
        await asyncio.sleep(0.1)
        if case.renews:
            registry.announce(announcement)
    return known.own.announcement is None


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(Case(True, 0, False, False), id="listens, no lease"),
        pytest.param(Case(True, 500, True, False), id="renews"),
        pytest.param(Case(True, 500, False, True), id="stops renewing"),
        pytest.param(Case(False, 0, False, True), id="died"),
    ],
)
async def test_worker_is_withdrawn(case: Case) -> None:
    address = processes.get_free_address()
    host, port = address.split(":")
    listener = await asyncio.start_server(
        lambda _, writer: writer.close(), host, int(port)
    )
    if not case.listens:
        listener.close()
    own = members.Member("n0", 1, "landshut", "c", "o", None)
    known = table.MemberTable(own)
    registry = worker_registry.WorkerRegistry(
        known, controller.AdmissionController(slots=0), lambda: None
    )
    announcement = members.Announcement(
        "stock", address, 10, 40, lease_ms=case.lease_ms
    )
    async with registry:
        registry.announce(announcement)
        incarnation = known.own.incarnation
        verdict = await wait_for_verdict(registry, known, announcement, case)
        assert verdict is case.withdrawn
        assert (known.own.incarnation > incarnation) is case.withdrawn
        registry.announce(announcement)
        assert known.own.announcement == announcement
    listener.close()
