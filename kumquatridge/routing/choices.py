"""What the choice of an instance came to."""

import dataclasses

from kumquatridge.calls import refusals
from kumquatridge.membership import member as members


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """An instance and what was known of it when it was chosen.

    `report_age_ms` is None when it has told nothing yet.
    """

    instance: str
    data_centre: str
    load_ratio: float
    slowness_ratio: float
    report_age_ms: float | None


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """The instance to send the call to."""

    member: members.Member


@dataclasses.dataclass(frozen=True, slots=True)
class NoneLeft:
    """No instance may take the call."""

    refusal: refusals.Refusal


Choice = Chosen | NoneLeft
