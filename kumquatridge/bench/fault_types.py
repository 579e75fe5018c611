"""Types of faults that a scenario can inject.

`number` is the number of a service's worker, counted from 1; a daemon has the
number of its worker. `slowdown_ratio` is the factor by which service times are
multiplied; the other ratios are shares from 0 to 1.
"""

import dataclasses
import enum

from kumquatridge.bench import spans


class Direction(enum.Enum):
    """Kind of messages between daemons that a fault affects."""

    ANSWERS = "answers"
    CALLS = "calls"


@dataclasses.dataclass(frozen=True, slots=True)
class SlowWorkers:
    """A share of a service's workers takes longer for each call."""

    service: str
    workers_ratio: float
    slowdown_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeriodicSlowdown:
    """A share of all workers is slow for `slowdown_ms` of each period.

    The workers are drawn anew in each period. The grammar calls the fault
    `slow_moments`.
    """

    workers_ratio: float
    slowdown_ratio: float
    slowdown_ms: float
    period_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class StallWorker:
    """A worker accepts calls and completes none during the fault's span."""

    service: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashWorker:
    """A worker loses all its calls and is down for the fault's span."""

    service: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class RestartDaemon:
    """A daemon loses its state and is down for the fault's span."""

    service: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class RestartDataCentre:
    """All daemons of a data centre restart, down for the fault's span."""

    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class PauseDaemon:
    """A daemon is paused for the fault's span and keeps its state."""

    service: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class CutOffDataCentre:
    """A data centre is cut off from the others."""

    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class LoseMessages:
    """A share of the calls or answers between daemons is lost."""

    direction: Direction
    ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformDown:
    """The platform does not answer."""


@dataclasses.dataclass(frozen=True, slots=True)
class DelayedReports:
    """Load reports on answers between daemons arrive with a delay."""

    delay_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class FalseReports:
    """A share of the instances reports inverted load."""

    instances_ratio: float


FaultType = (
    SlowWorkers
    | PeriodicSlowdown
    | StallWorker
    | CrashWorker
    | RestartDaemon
    | RestartDataCentre
    | PauseDaemon
    | CutOffDataCentre
    | LoseMessages
    | PlatformDown
    | DelayedReports
    | FalseReports
)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """A fault type and the span for which it lasts.

    `trouble` is the name of the grammar rule.
    """

    span: spans.Span
    trouble: FaultType
