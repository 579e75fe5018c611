"""The faults of a scenario."""

import dataclasses
import enum

from kumquatridge.bench import spans


class Half(enum.Enum):
    """What a fault between daemons loses."""

    ANSWERS = "answers"
    CALLS = "calls"


@dataclasses.dataclass(frozen=True, slots=True)
class Slow:
    """A part of a service's workers takes longer for each call."""

    service: str
    workers_ratio: float
    slowdown_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class SlowMoments:
    """A part of all workers is slowed again and again for a moment."""

    workers_ratio: float
    slowdown_ratio: float
    moment_ms: float
    period_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Stall:
    """A worker takes calls and finishes none."""

    service: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class CrashWorker:
    """A worker loses all its calls and is away for the fault's span."""

    service: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class RestartDaemon:
    """A daemon loses its memory and is away for the fault's span."""

    service: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class RestartDataCentre:
    """All daemons of a data centre restart, away for the fault's span."""

    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class PauseDaemon:
    """A daemon stands still and goes on as if nothing had happened."""

    service: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A data centre is cut off from the others."""

    data_centre: str


@dataclasses.dataclass(frozen=True, slots=True)
class Lose:
    """A part of the calls or answers between daemons is lost."""

    half: Half
    ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformDown:
    """The platform answers nobody."""


@dataclasses.dataclass(frozen=True, slots=True)
class ReportsLate:
    """The reports of load on answers between daemons arrive later."""

    late_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class ReportsFalse:
    """A part of the instances reports the opposite of its load."""

    instances_ratio: float


Trouble = (
    Slow
    | SlowMoments
    | Stall
    | CrashWorker
    | RestartDaemon
    | RestartDataCentre
    | PauseDaemon
    | Cut
    | Lose
    | PlatformDown
    | ReportsLate
    | ReportsFalse
)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Trouble that lasts for a span."""

    span: spans.Span
    trouble: Trouble
