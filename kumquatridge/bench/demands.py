"""The demand of a scenario and how its callers behave."""

import dataclasses

from kumquatridge.bench import spans


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

    span: spans.Span
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
