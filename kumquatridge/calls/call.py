"""A call on its way to a worker."""

import dataclasses

from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.chain import context
from kumquatridge.settings import policy as settings_policy


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call with its policy and its chain context.

    The chain context has what the call inherits from its root, the request that
    started the chain of calls. `policy` has the settings of the call's route.
    `path` is the path at the worker, with the query. `caller` is the name of
    the caller, empty if unknown; a child call whose parent was found by the
    parent's token (`chain.inbound_calls`) has the caller of its root.
    `idempotency_key` is sent by the caller and the same on every resend, None
    without one. `received_ms` is the time of arrival on this process's event
    loop clock, and `key_age_ms` the age of the key at that time, as the caller
    or the forwarding daemon reported it, None if neither did. `request_id` is
    the id that the caller gave this attempt, empty if it gave none. `attempt`
    counts the workers that the call may have reached, the next one included.
    """

    service: str
    method: str
    path: str
    headers: outcomes.Headers
    body: call_body.Body
    caller: str
    idempotency_key: str | None
    policy: settings_policy.RoutePolicy
    chain: context.ChainContext
    key_age_ms: int | None = None
    received_ms: float = 0.0
    request_id: str = ""
    attempt: int = 1
