"""A call on its way to a worker."""

import dataclasses

from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes
from kumquatridge.chain import context
from kumquatridge.settings import policy as settings_policy


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """A call with all data that decisions about it need.

    `idempotency_key` is chosen by the caller and the same on every resend.
    `key_age_ms` is the age of the key as the caller reported it, at
    `received_ms` on this process's event loop clock. `request_id` is the
    caller's own id of this attempt, if it gave one. `path` is the path at the
    worker, with its query. Whether the call is long-running is part of the
    policy.
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
