"""Results of selecting an instance for a call."""

import dataclasses

from kumquatridge.calls import refusals
from kumquatridge.membership import member as members


@dataclasses.dataclass(frozen=True, slots=True)
class InstanceSnapshot:
    """An instance and its measured state, for the log.

    `data_centre` is empty if the instance is unknown. `load_ratio` is the
    number of calls queued or in progress as a fraction of the instance's limit,
    and `slowness_ratio` the recent latency as a multiple of the typical latency
    of the same routes, at least 1. `report_age_ms` is the time since its last
    load report, None if there was none yet.
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
