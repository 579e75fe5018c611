"""The bounds that a scenario sets on its run."""

import dataclasses

from kumquatridge.bench import spans


@dataclasses.dataclass(frozen=True, slots=True)
class Goodput:
    """Useful work over what capacity and demand allow, in a span."""

    span: spans.Span
    least_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Success:
    """Requests of some chains that succeed, of those that arrive."""

    chains: tuple[str, ...]
    span: spans.Span
    least_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Recovery:
    """Time until success and p99 are back within 5% of before."""

    chains: tuple[str, ...]
    after_ms: float
    before: spans.Span
    most_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class TailLatency:
    """p99 of a chain in a span over its p99 in a quiet span."""

    chain: str
    span: spans.Span
    quiet: spans.Span
    most_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Standstill:
    """The longest time in a span without a success."""

    span: spans.Span
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
