"""Withdrawal of a worker, and its return by a new announcement."""

import asyncio
import dataclasses

import pytest

from kumquatridge.admission import controller
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.operators import worker_registry
from tests import processes

# A withdrawal takes at most two checks at intervals of a second. Workers that
# are expected to stay are observed for this whole time.
WITHDRAWAL_TIMEOUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerCase:
    """Behaviour of the worker, and whether its withdrawal is expected.

    With `renews`, it announces itself every 100 ms, well within the lease.
    `lease_ms` is 0 for no lease.
    """

    listens: bool
    lease_ms: int
    renews: bool
    withdrawn: bool


async def wait_until_withdrawn(
    registry: worker_registry.WorkerRegistry,
    members_table: table.MemberTable,
    announcement: members.Announcement,
    case: WorkerCase,
) -> bool:
    """Returns whether the worker is withdrawn within the time-out."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + WITHDRAWAL_TIMEOUT_S
    while loop.time() < deadline and members_table.own.announcement is not None:
        await asyncio.sleep(0.1)
        if case.renews:
            registry.announce(announcement)
    return members_table.own.announcement is None


@pytest.mark.parametrize(
    "case",
    [
        pytest.param(WorkerCase(True, 0, False, False), id="listens, no lease"),
        pytest.param(WorkerCase(True, 500, True, False), id="renews"),
        pytest.param(WorkerCase(True, 500, False, True), id="stops renewing"),
        pytest.param(
            WorkerCase(False, 0, False, True), id="refuses connections"
        ),
    ],
)
async def test_worker_is_withdrawn_when_lease_lapses_or_connections_are_refused(
    case: WorkerCase,
) -> None:
    address = processes.get_free_address()
    host, port = address.split(":")
    listener = await asyncio.start_server(
        lambda _, writer: writer.close(), host, int(port)
    )
    if not case.listens:
        listener.close()
    # Incarnation 1, the data centre, placeholder addresses, no worker yet.
    own = members.Member("n0", 1, "landshut", "c", "o", None)
    members_table = table.MemberTable(own)
    registry = worker_registry.WorkerRegistry(
        members_table, controller.AdmissionController(slots=0), lambda: None
    )
    # 10 slots and 40 connections.
    announcement = members.Announcement(
        "stock", address, 10, 40, lease_ms=case.lease_ms
    )
    async with registry:
        registry.announce(announcement)
        incarnation = members_table.own.incarnation
        is_withdrawn = await wait_until_withdrawn(
            registry, members_table, announcement, case
        )
        assert is_withdrawn is case.withdrawn
        assert (members_table.own.incarnation > incarnation) is case.withdrawn
        registry.announce(announcement)
        assert members_table.own.announcement == announcement
    listener.close()
