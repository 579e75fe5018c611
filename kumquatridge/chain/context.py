"""The context that calls pass on to their child calls."""

import dataclasses
import secrets

from kumquatridge import clock
from kumquatridge.calls import importance as call_importance

ROOT_ID_BYTES = 16


@dataclasses.dataclass(frozen=True, slots=True)
class ChainContext:
    """The values that a call inherits from its root request and ancestors.

    `expires_at_ms` is on this process's event loop clock; between processes
    only the remaining time is sent. `retry_allowance` is the part of the root's
    retry allowance that this call may spend or pass on. `depth` is 0 for a
    root, 1 for its child calls. `is_retry` tells whether this call or an
    ancestor is a retry. `root_route` names the route of the root; it is empty
    for requests that are not routed by host and path.

    An instance runs a call only while the call holds one of its slots
    (`admission.controller`). Three fields describe the ancestors of this call
    at the time when it was made: `slot_held_ms` is the total time for which
    they had held slots, `waited_ms` the total time for which those other than
    the root had waited for a slot, and `is_contended` tells whether calls were
    being refused for lack of a slot that one of them held.
    """

    root_id: str
    importance: call_importance.Importance
    expires_at_ms: float
    retry_allowance: int
    depth: int
    slot_held_ms: float = 0.0
    waited_ms: float = 0.0
    is_contended: bool = False
    is_retry: bool = False
    root_route: str = ""

    def get_remaining_ms(self) -> float:
        """Returns the time until the deadline, negative once it has passed."""
        return self.expires_at_ms - clock.get_now_ms()


def make_root_id() -> str:
    """Returns a new random root id, in hexadecimal digits."""
    return secrets.token_hex(ROOT_ID_BYTES)
