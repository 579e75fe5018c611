"""Decisions of admission control on one call."""

import dataclasses

from kumquatridge.calls import refusals


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The call holds a slot, for which it waited `waited_ms`.

    `is_contended` is set while other calls are refused for lack of slots.
    """

    waited_ms: float
    is_contended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The call holds no slot and must not be sent."""

    refusal: refusals.Refusal


AdmissionDecision = Admitted | Refused
