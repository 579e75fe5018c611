"""Decisions of admission control on one call."""

import dataclasses

from kumquatridge.calls import refusals


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The call holds a slot of the worker and may be sent to it.

    `waited_ms` is the time from the arrival of the call until it got the slot,
    0 if one was free on arrival. `is_contended` is set if other calls were
    refused for lack of slots, or were about to be, when the call got the slot.
    """

    waited_ms: float
    is_contended: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The call holds no slot and must not be sent to the worker."""

    refusal: refusals.Refusal


AdmissionDecision = Admitted | Refused
