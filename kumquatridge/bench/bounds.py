"""The bounds that a scenario sets on its run."""

import dataclasses

from kumquatridge.bench import spans


@dataclasses.dataclass(frozen=True, slots=True)
class Goodput:
    """Useful work in a span, relative to what capacity and demand allow."""

    span: spans.Span
    min_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Success:
    """Success ratio of the requests of some chains that arrive in a span."""

    chains: tuple[str, ...]
    span: spans.Span
    min_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Recovery:
    """Time until success ratio and p99 are within 5% of a reference span's.

    It is counted from `after_ms`.
    """

    chains: tuple[str, ...]
    after_ms: float
    reference: spans.Span
    max_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class TailLatency:
    """p99 of a chain in a span, relative to its p99 in a reference span."""

    chain: str
    span: spans.Span
    reference: spans.Span
    max_ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Standstill:
    """The longest time in a span without a successful request."""

    span: spans.Span
    max_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Crashes:
    """Number of worker crashes of a service in the whole run."""

    service: str
    max_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class FalseQuarantine:
    """The longest quarantine of a request that crashes no worker.

    The grammar calls it `innocent_quarantine`.
    """

    max_ms: float


Bound = (
    Goodput
    | Success
    | Recovery
    | TailLatency
    | Standstill
    | Crashes
    | FalseQuarantine
)
