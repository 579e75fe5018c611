"""What a scenario says: deployment, demand, faults and bounds.

Times are milliseconds of virtual time since the start of the run.
"""

from collections.abc import Iterator
import dataclasses
import enum


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service's workers; `service_ms` is the work of one call alone."""

    name: str
    workers: int
    slots: int
    service_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A call to a service and the calls that it makes in turn.

    `work_ratio` multiplies the service's own time; `is_parallel` makes the
    children run at the same time.
    """

    method: str
    service: str
    path: str
    work_ratio: float
    children: "tuple[Step, ...]"
    is_parallel: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """A whole request; a poisonous one crashes the first worker it meets."""

    name: str
    root: Step
    is_poison: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The services of one of the examples and the distances between them.

    Delays are one way. `slot_scale_ratio` is the part of the real slots
    that is simulated.
    """

    name: str
    data_centres: tuple[str, ...]
    delay_ms: float
    caller_delay_ms: float
    slot_scale_ratio: float
    services: tuple[Service, ...]
    chains: tuple[Chain, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Scaled:
    """A scenario's own factor on the slots of its deployment."""

    ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """A stretch of virtual time."""

    starts_ms: float
    ends_ms: float

    @property
    def length_ms(self) -> float:
        """How long the span is."""
        return self.ends_ms - self.starts_ms

    def contains(self, at_ms: float) -> bool:
        """Tells whether a time lies in the span."""
        return self.starts_ms <= at_ms < self.ends_ms


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The weight of a chain in a mix."""

    chain: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class OfCapacity:
    """A rate as a multiple of what the slots can carry of the mix."""

    ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Absolute:
    """A rate in requests per second."""

    per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Swing:
    """A triangle wave between two multiples of the capacity."""

    low_ratio: float
    high_ratio: float
    period_ms: float


Rate = OfCapacity | Absolute | Swing


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """New requests that arrive during a span."""

    span: Span
    rate: Rate
    mix: tuple[Share, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Callers:
    """How callers behave after an answer that is no success.

    They resend after `pause_ms`, whatever the answer asked for, at most
    `resends` times. `double_ratio` of the requests are sent to two daemons
    at once.
    """

    resends: int = 0
    pause_ms: float = 0.0
    double_ratio: float = 0.0


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


Trouble = (
    Slow
    | SlowMoments
    | Stall
    | CrashWorker
    | RestartDaemon
    | PauseDaemon
    | Cut
    | Lose
)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """Trouble that lasts for a span."""

    span: Span
    trouble: Trouble


@dataclasses.dataclass(frozen=True, slots=True)
class Goodput:
    """Useful work over what capacity and demand allow, in a span."""

    span: Span
    least_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Success:
    """Requests of some chains that succeed, of those that arrive."""

    chains: tuple[str, ...]
    span: Span
    least_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Recovery:
    """Time until success and p99 are back within 5% of before."""

    chains: tuple[str, ...]
    after_ms: float
    before: Span
    most_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class TailLatency:
    """p99 of a chain in a span over its p99 in a quiet span."""

    chain: str
    span: Span
    quiet: Span
    most_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Standstill:
    """The longest time in a span without a success."""

    span: Span
    most_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Crashes:
    """Crashes of a service's workers in the whole run."""

    service: str
    most: int


@dataclasses.dataclass(frozen=True, slots=True)
class InnocentQuarantine:
    """The longest time for which a harmless request is quarantined."""

    most_ms: float


Bound = (
    Goodput
    | Success
    | Recovery
    | TailLatency
    | Standstill
    | Crashes
    | InnocentQuarantine
)


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One file: a run with its bounds."""

    name: str
    title: str
    deployment: Deployment
    duration_ms: float
    demands: tuple[Demand, ...]
    callers: Callers
    faults: tuple[Fault, ...]
    bounds: tuple[Bound, ...]


def add_chains(deployment: Deployment, chains: tuple[Chain, ...]) -> Deployment:
    """Returns the deployment with a scenario's own chains beside its own."""
    return dataclasses.replace(deployment, chains=deployment.chains + chains)


def scale_slots(deployment: Deployment, ratio: float) -> Deployment:
    """Returns the deployment with a part of its slots, at least one each."""
    return dataclasses.replace(
        deployment,
        slot_scale_ratio=deployment.slot_scale_ratio * ratio,
        services=tuple(
            dataclasses.replace(one, slots=max(1, round(one.slots * ratio)))
            for one in deployment.services
        ),
    )


def iter_steps(step: Step) -> Iterator[Step]:
    """Iterates over a step and all that it leads to."""
    yield step
    for child in step.children:
        yield from iter_steps(child)


def find_problem(script: Scenario) -> str | None:
    """Returns what a scenario names that its deployment does not have."""
    chains = {one.name for one in script.deployment.chains}
    workers = {one.name: one.workers for one in script.deployment.services}
    centres = set(script.deployment.data_centres)
    for chain in script.deployment.chains:
        for step in iter_steps(chain.root):
            if step.service not in workers:
                return f"chain {chain.name}: no service {step.service!r}"
    for demand in script.demands:
        for share in demand.mix:
            if share.chain not in chains:
                return f"demand: no chain {share.chain!r}"
    for fault in script.faults:
        match fault.trouble:
            case (
                Slow(service=name)
                | Stall(service=name)
                | CrashWorker(service=name)
                | RestartDaemon(service=name)
                | PauseDaemon(service=name)
            ) if name not in workers:
                return f"fault: no service {name!r}"
            case (
                Stall(name, number)
                | CrashWorker(name, number)
                | RestartDaemon(name, number)
                | PauseDaemon(name, number)
            ) if not 1 <= number <= workers[name]:
                return f"fault: {name} has {workers[name]} workers"
            case Cut(name) if name not in centres:
                return f"fault: no data centre {name!r}"
            case _:
                pass
    return None
