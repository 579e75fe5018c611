"""The bounds that a scenario sets on its run.

`chain` and `chains` are names of call chains. Spans and `after_ms` are virtual
time since the start of the run. `measures` computes the figures.
"""

import dataclasses

from kumquatridge.bench import spans


@dataclasses.dataclass(frozen=True, slots=True)
class Goodput:
    """Ratio of the work completed in a span to the work attainable in it.

    The attainable work is that of the requests that arrive in the span, but at
    most the capacity.
    """

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
    """Time from `after_ms` until the run has recovered.

    It has recovered when success ratio and p99 of the chains are within 5% of
    those in the span `reference`.
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
