"""Numbered log events; docs/EVENTS.md lists them.

The list shows the first paragraph of each class docstring. A node is a node of
the settings tree.
"""

import dataclasses
from typing import ClassVar, Protocol

import eliot

from kumquatridge.telemetry import texts


class Event(Protocol):
    """A frozen data class with a unique event number."""

    number: ClassVar[int]


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonStarted:
    """The daemon has started and serves calls."""

    number: ClassVar[int] = 1001
    instance: str
    data_centre: str
    caller_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class DrainStarted:
    """The daemon is stopping: it announces this, then refuses new calls.

    `in_progress` is the number of calls that hold a slot of the worker.
    """

    number: ClassVar[int] = 1002
    instance: str
    in_progress: int


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonStopped:
    """The daemon has stopped; `unfinished` calls were cut off."""

    number: ClassVar[int] = 1003
    instance: str
    unfinished: int


@dataclasses.dataclass(frozen=True, slots=True)
class BackgroundTaskFailed:
    """A background task failed with an error and is restarted.

    `owner` is the name of the class that runs the task.
    """

    number: ClassVar[int] = 1004
    owner: str
    error: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerAnnounced:
    """A worker announced itself to the daemon of its instance."""

    number: ClassVar[int] = 1101
    service: str
    address: str
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLeft:
    """A worker announced that it is leaving."""

    number: ClassVar[int] = 1102
    service: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLapsed:
    """A worker was removed without having left; `reason` says why."""

    number: ClassVar[int] = 1103
    service: str
    address: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """An update to a member was applied.

    `state` is the name of a state class of `membership.member`, and
    `incarnation` is described in `membership.member.Member`.
    """

    number: ClassVar[int] = 2001
    instance: str
    incarnation: int
    state: str


@dataclasses.dataclass(frozen=True, slots=True)
class ControlMessageRefused:
    """A control message was refused; logged once for each reason.

    `address` is the control address of this daemon, which received the message.
    """

    number: ClassVar[int] = 2002
    address: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ControlTaskFailed:
    """A task of the control exchange between daemons failed.

    The control exchange is the gossip by which daemons learn of each other.
    """

    number: ClassVar[int] = 2003
    task: str
    error: str


@dataclasses.dataclass(frozen=True, slots=True)
class DataCentreReach:
    """A remote data centre was cut off or became reachable again.

    `reach` is "CutOff" or "Reachable".
    """

    number: ClassVar[int] = 2004
    data_centre: str
    reach: str


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFromFile:
    """Neither platform nor peers had settings; the file is in force."""

    number: ClassVar[int] = 3001
    file: str


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsApplied:
    """Newer settings were applied; `nodes` lists each node as "path version".

    `nodes` holds one text for each node: its path, a space and its new version.
    """

    number: ClassVar[int] = 3002
    nodes: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsRejected:
    """A version of a node was rejected for the given `reason`.

    `writer` is the name of who wrote the version, such as user@host.
    """

    number: ClassVar[int] = 3003
    path: str
    version: int
    writer: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsAdjusted:
    """Settings that contradict each other were adjusted before use.

    `adjustments` holds a description of each for operators.
    """

    number: ClassVar[int] = 3004
    adjustments: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsBroken:
    """The newest nodes form no valid tree; the last valid one is kept.

    `fault` says what is invalid.
    """

    number: ClassVar[int] = 3005
    fault: str


@dataclasses.dataclass(frozen=True, slots=True)
class RelayStarted:
    """This daemon began to watch the platform for its data centre."""

    number: ClassVar[int] = 3006
    instance: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class RelayStopped:
    """This daemon no longer watches the platform for its data centre.

    Other members of the data centre were picked as relays, or this daemon is
    leaving.
    """

    number: ClassVar[int] = 3007
    instance: str
    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformLost:
    """Calls to the platform fail; settings and routes in force are kept.

    `operation` is "routes" if the route watch failed to read the route table,
    "follow" if the settings relay failed to follow the settings.
    """

    number: ClassVar[int] = 3008
    operation: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformBack:
    """The platform answers again after `lost_for_ms`.

    Logged by the settings relay; the route watch logs `PlatformReturned`.
    """

    number: ClassVar[int] = 3009
    lost_for_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class WatchMissedChange:
    """A listing found a change that the open watch did not report."""

    number: ClassVar[int] = 3010
    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsObjectDamaged:
    """A platform object holds no valid settings node and was skipped."""

    number: ClassVar[int] = 3011
    path: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesApplied:
    """A newer route table is in force; `source` is platform or peer.

    `before` is the version of the previous table, `routes` the number of
    routes.
    """

    number: ClassVar[int] = 3012
    version: int
    before: int
    source: str
    routes: int


@dataclasses.dataclass(frozen=True, slots=True)
class RoutesRejected:
    """A route table that can't be decoded was rejected.

    `revision` is the platform's revision at which the table was read.
    """

    number: ClassVar[int] = 3013
    revision: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformReturned:
    """The platform answers again; `version` is the version in force.

    `version` is that of the route table. Logged by the route watch, with the
    `purpose` "routes"; the settings relay logs `PlatformBack`.
    """

    number: ClassVar[int] = 3014
    purpose: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformEntrySkipped:
    """An entry in the platform's store can't be read and was skipped.

    `entry` is its key, or the kind of objects that it was listed with.
    """

    number: ClassVar[int] = 3015
    entry: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformDoubted:
    """The first watcher of the platform got no answer; deputies read it now.

    `doubt` names that watcher, its incarnation and the number of its doubts.
    """

    number: ClassVar[int] = 3016
    doubt: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerCut:
    """An answer was cut off after its head was sent.

    `target` is the request target of an HTTP request, or says that the call
    came from another daemon.
    """

    number: ClassVar[int] = 4001
    target: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestFailed:
    """A request failed because of an error within the daemon.

    `target` is as in `AnswerCut`.
    """

    number: ClassVar[int] = 4002
    target: str
    error: str


@dataclasses.dataclass(frozen=True, slots=True)
class AnswerSkipped:
    """An answer to another request was skipped; logged once a connection."""

    number: ClassVar[int] = 4003
    status: int


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionsEvicted:
    """Connections were closed, since all held too much; `bound` says of what.

    `bound` is "memory" or "connections". `count` of `open_count` connections,
    which held `freed_bytes`, were closed; the others hold `left_bytes`.
    """

    number: ClassVar[int] = 4004
    bound: str
    count: int
    freed_bytes: int
    open_count: int
    left_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerReportIgnored:
    """A worker's report on itself was ignored for the given `reason`."""

    number: ClassVar[int] = 1104
    worker: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerStateChanged:
    """The daemon's view of its local worker changed.

    `worker` is the id that the worker reported, empty if none is known, and
    `state` the name of the class of its new state. `sequence` is the number of
    the worker's newest report, -1 before any.
    """

    number: ClassVar[int] = 1105
    worker: str
    state: str
    reason: str
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeregistrationUnreadable:
    """The start time in a worker's deregistration can't be read.

    The deregistration applies to the present process of that name.
    """

    number: ClassVar[int] = 1106
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFileRead:
    """The settings file was reloaded.

    `trigger` is "signal" after a SIGHUP, "interval" after a regular check.
    """

    number: ClassVar[int] = 1005
    instance: str
    service: str
    trigger: str


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsFileRejected:
    """The settings file is invalid; the last valid settings are kept."""

    number: ClassVar[int] = 1006
    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRefused:
    """A request was refused; `detail` holds the fields of the refusal.

    `held_ms` is the time since the request arrived, `version` the version of
    the route table in force.
    """

    number: ClassVar[int] = 5001
    request_id: str
    root_id: str
    route: str
    service: str
    importance: str
    depth: int
    reason: str
    detail: dict[str, object]
    held_ms: float
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestEnded:
    """A request was answered: failed, slow and sampled ones are logged.

    Other answers are not logged. An answer is slow if it took longer than
    `objective_ms`, the latency objective of its route, which is infinite if
    the route has none. `held_ms` is the time from the arrival of the request to
    the answer, `version` the version of the route table in force.
    """

    number: ClassVar[int] = 5002
    request_id: str
    root_id: str
    route: str
    service: str
    status: int
    detail: str
    held_ms: float
    objective_ms: float
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRepeated:
    """A request was retried on another instance, or denied a retry.

    `is_allowed` is False for a denied retry. `reason` is then why it was
    denied, otherwise why the request was retried. `held_ms` is the time since
    the request arrived.
    """

    number: ClassVar[int] = 5003
    request_id: str
    root_id: str
    service: str
    reason: str
    is_allowed: bool
    held_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptFailed:
    """An instance failed to serve a request.

    `load_ratio` is the number of the instance's calls in progress as a fraction
    of its limit, `slowness_ratio` its recent latency as a multiple of the
    typical latency; both are read after the failure. Instances are chosen by
    these ratios. `report_age_ms` is the age of the instance's newest load
    report, None if it has sent none; `held_ms` is the time since the request
    arrived.
    """

    number: ClassVar[int] = 5004
    request_id: str
    root_id: str
    service: str
    instance: str
    outcome: str
    held_ms: float
    load_ratio: float
    slowness_ratio: float
    report_age_ms: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class LinesDropped:
    """Log lines of one kind exceeded the rate limit and were dropped.

    `kind` is described in `request_log.RequestLog`, and `count` is the number
    of lines dropped since the last line of that kind.
    """

    number: ClassVar[int] = 5005
    kind: str
    count: int


def log(event: Event) -> None:
    """Writes an event to the log, with its number as the message type.

    Very long texts are cut off.
    """
    fields = {
        field.name: texts.shorten_value(getattr(event, field.name))
        for field in dataclasses.fields(event)  # type: ignore[arg-type]
    }
    eliot.log_message(
        message_type=f"KQ{event.number}", event=type(event).__name__, **fields
    )
