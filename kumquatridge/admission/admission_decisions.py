"""What admission decided about one call."""

import dataclasses

from kumquatridge.calls import refusals


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The call holds a slot; `waited_ms` is how long it waited for it.

    `is_contended` tells whether others are refused for want of a slot.
    """

    waited_ms: float
    is_contended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The call holds nothing and must not be sent."""

    refusal: refusals.Refusal


AdmissionDecision = Admitted | Refused
