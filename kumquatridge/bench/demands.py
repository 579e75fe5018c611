"""Demand of a scenario and behaviour of its callers."""

import dataclasses

from kumquatridge.bench import spans


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """The relative weight of a call chain in the mix of a demand."""

    chain: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityMultiple:
    """A rate as a multiple of the capacity of the workers' slots."""

    ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class AbsoluteRate:
    """A rate in requests per second."""

    per_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class TriangleWave:
    """A rate that is a triangle wave between two multiples of capacity.

    Each period starts and ends at `low_ratio`; the first starts with the span.
    """

    low_ratio: float
    high_ratio: float
    period_ms: float


Rate = CapacityMultiple | AbsoluteRate | TriangleWave


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """New requests that arrive during a span."""

    span: spans.Span
    rate: Rate
    mix: tuple[Share, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class CallerBehaviour:
    """How callers resend requests that did not succeed.

    They resend at most `resends` times, each time after `pause_ms` with
    jitter, and ignore any retry delay in the answer. A fraction
    `duplicate_ratio` of the attempts is sent to two daemons at once.
    """

    resends: int = 0
    pause_ms: float = 0.0
    duplicate_ratio: float = 0.0
