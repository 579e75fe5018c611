"""HTTP handlers of the operators' API, as a litestar application."""

import dataclasses

import litestar
from litestar import datastructures
from litestar import exceptions

from kumquatridge.admission import controller as admission_controller
from kumquatridge.callpath import service_exchange
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.operators import explanations
from kumquatridge.operators import fleet_status
from kumquatridge.operators import homes
from kumquatridge.operators import worker_registry
from kumquatridge.settings import instances
from kumquatridge.settings import store as settings_store
from kumquatridge.telemetry import decisions
from kumquatridge.telemetry import metrics


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonStatus:
    """Current state of a daemon, as `/v1/status` returns it.

    `in_progress` is the number of calls that hold a slot of the local worker,
    `limit` the number that may do so at a time, and `queued` the number that
    wait for a slot.
    """

    instance: str
    data_centre: str
    in_progress: int
    queued: int
    limit: int
    members: tuple[fleet_status.MemberStatus, ...]
    settings: settings_store.StoreStatus
    data_centres: tuple[fleet_status.DataCentreStatus, ...]
    admission: admission_controller.AdmissionStatus
    platform: fleet_status.PlatformStatus


@dataclasses.dataclass(frozen=True, slots=True)
class OperatorState:
    """The parts of the daemon that the HTTP handlers use.

    The handlers find them as `daemon` in the state of the application.
    """

    registry: worker_registry.WorkerRegistry
    controller: admission_controller.AdmissionController
    members: table.MemberTable
    decisions: decisions.DecisionLog
    exporter: metrics.MetricExporter
    settings: settings_store.NodeStore
    exchange: service_exchange.ServiceExchange
    instance_table: instances.InstanceTable


@litestar.post("/v1/announcement", status_code=204)
async def announce(
    data: members.Announcement, state: datastructures.State
) -> None:
    """Registers the local worker, or renews its lease.

    Raises:
      ValidationException: a value of the announcement is out of range.
    """
    daemon: OperatorState = state.daemon
    if data.slots < 1:
        raise exceptions.ValidationException(
            f"slots: got {data.slots}, expected a whole number above 0"
        )
    if data.lease_ms < 0:
        raise exceptions.ValidationException(
            f"lease_ms: got {data.lease_ms}, expected 0 or more"
        )
    daemon.registry.announce(data)


@litestar.delete("/v1/announcement")
async def withdraw(state: datastructures.State) -> None:
    """Withdraws the registration of the local worker."""
    daemon: OperatorState = state.daemon
    daemon.registry.withdraw()


@litestar.get("/v1/status")
async def get_status(state: datastructures.State) -> DaemonStatus:
    """Returns the state of this daemon and what it knows of the fleet."""
    daemon: OperatorState = state.daemon
    controller = daemon.controller
    own = daemon.members.own
    return DaemonStatus(
        own.instance,
        own.data_centre,
        controller.in_progress,
        controller.queued,
        controller.limit,
        fleet_status.describe_members(daemon.members),
        daemon.settings.get_status(),
        fleet_status.describe_data_centres(daemon.members),
        controller.status,
        fleet_status.describe_platform(daemon.members, daemon.instance_table),
    )


@litestar.get("/metrics", media_type="text/plain; version=0.0.4")
async def get_metrics(state: datastructures.State) -> bytes:
    """Returns the metrics in the Prometheus text format."""
    daemon: OperatorState = state.daemon
    return daemon.exporter.render()


@litestar.get("/v1/decisions")
async def get_decisions(
    state: datastructures.State, root_id: str = "", count: int = 20
) -> list[explanations.Explanation]:
    """Explains recorded refusals and retries.

    With `root_id`, returns all that concern this root call or the calls that it
    caused; without `root_id`, the latest `count`. The oldest comes first.
    """
    daemon: OperatorState = state.daemon
    if root_id:
        recorded = daemon.decisions.find(root_id)
    else:
        recorded = daemon.decisions.get_latest(count)
    instance = daemon.members.own.instance
    return [explanations.explain(instance, decision) for decision in recorded]


def make_app(daemon: OperatorState) -> litestar.Litestar:
    """Returns the application; its handlers use `daemon`."""
    return litestar.Litestar(
        route_handlers=[
            announce,
            withdraw,
            get_status,
            get_metrics,
            get_decisions,
            homes.retire_home,
        ],
        state=datastructures.State({"daemon": daemon}),
        openapi_config=None,
    )
