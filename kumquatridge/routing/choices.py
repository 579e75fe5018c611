"""Results of selecting an instance for a call."""

import dataclasses

from kumquatridge.calls import refusals
from kumquatridge.membership import member as members


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSnapshot:
    """An instance and its measured state, for the log.

    `load_ratio` is the number of its calls in progress as a fraction of its
    limit, and `slowness_ratio` its recent latency as a multiple of the
    typical latency of the same routes. `report_age_ms` is None if the
    instance has not sent a load report yet.
    """

    instance: str
    data_centre: str
    load_ratio: float
    slowness_ratio: float
    report_age_ms: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """The instance that receives the call."""

    member: members.Member


@dataclasses.dataclass(frozen=True, slots=True)
class NoneAvailable:
    """No instance is available for the call."""

    refusal: refusals.Refusal


Choice = Chosen | NoneAvailable
