"""What the choice of an instance came to."""

import dataclasses

from kumquatridge.calls import refusals
from kumquatridge.membership import member as members


@dataclasses.dataclass(frozen=True, slots=True)
class Chosen:
    """The instance to send the call to."""

    member: members.Member


@dataclasses.dataclass(frozen=True, slots=True)
class NoneLeft:
    """No instance may take the call."""

    refusal: refusals.Refusal


Choice = Chosen | NoneLeft
