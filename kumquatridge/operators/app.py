"""Routes of the operators' API, carried by litestar."""

import dataclasses
from typing import Any

import litestar
from litestar import datastructures
from litestar import exceptions
import prometheus_client

from kumquatridge.admission import guard as admission_guard
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.operators import worker_registry


@dataclasses.dataclass(frozen=True, slots=True)
class MemberStatus:
    """One member as an operator sees it."""

    instance: str
    incarnation: int
    service: str | None
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonStatus:
    """What a daemon does at the moment."""

    instance: str
    data_centre: str
    in_progress: int
    queued: int
    limit: int
    members: tuple[MemberStatus, ...]


@litestar.post("/v1/announcement", status_code=204)
async def announce(
    data: members.Announcement, state: datastructures.State
) -> None:
    """Takes the announcement of the worker beside this daemon."""
    registry: worker_registry.WorkerRegistry = state.registry
    if data.slots < 1:
        raise exceptions.ValidationException(
            f"slots: got {data.slots}, expected a whole number above 0"
        )
    registry.announce(data)


@litestar.delete("/v1/announcement")
async def leave(state: datastructures.State) -> None:
    """Takes the word of the worker that it leaves."""
    registry: worker_registry.WorkerRegistry = state.registry
    registry.withdraw()


@litestar.get("/v1/status")
async def get_status(state: datastructures.State) -> DaemonStatus:
    """Returns what this daemon does and whom it knows."""
    guard: admission_guard.AdmissionGuard = state.guard
    members_table: table.MemberTable = state.members
    own = members_table.own
    return DaemonStatus(
        own.instance,
        own.data_centre,
        guard.in_progress,
        guard.queued,
        guard.limit,
        tuple(_describe(member) for member in members_table),
    )


@litestar.get("/metrics", media_type="text/plain; version=0.0.4")
async def get_metrics() -> bytes:
    """Returns the metrics in the Prometheus text format."""
    return prometheus_client.generate_latest()


def _describe(member: members.Member) -> MemberStatus:
    announcement = member.announcement
    return MemberStatus(
        member.instance,
        member.incarnation,
        announcement.service if announcement else None,
        type(member.state).__name__.lower(),
    )


def make_app(
    registry: worker_registry.WorkerRegistry,
    guard: admission_guard.AdmissionGuard,
    members_table: table.MemberTable,
) -> litestar.Litestar:
    """Returns the application with what its routes need."""
    state: dict[str, Any] = {
        "registry": registry,
        "guard": guard,
        "members": members_table,
    }
    return litestar.Litestar(
        route_handlers=[announce, leave, get_status, get_metrics],
        state=datastructures.State(state),
        openapi_config=None,
    )
