"""Builds calls, route policies and outcomes for tests."""

import dataclasses

from kumquatridge import clock
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import outcomes
from kumquatridge.chain import context
from kumquatridge.settings import policy as settings_policy

POLICY = settings_policy.RoutePolicy(
    service="planning",
    route="lookup",
    importance=call_importance.Importance.CRITICAL,
    idempotent=True,
    deadline_ms=5000,
    retry_allowance=3,
    long_running=False,
    max_body_bytes=1 << 20,
    queue_wait_ms=500,
)
ANSWER = outcomes.Completed(200, (), call_body.EMPTY)
LONG_RUNNING_POLICY = dataclasses.replace(
    POLICY, route="manifest", long_running=True, idempotent=False
)


def make_call(
    *,
    importance: call_importance.Importance = (
        call_importance.Importance.NORMAL
    ),
    root_id: str = "root",
    depth: int = 0,
    policy: settings_policy.RoutePolicy = POLICY,
    remaining_ms: float = 5000.0,
    allowed_retries: int = 3,
) -> calls.Call:
    """Returns a call whose deadline expires in `remaining_ms`.

    `allowed_retries` is the retry allowance with which the call arrives,
    whatever `policy` allows; `depth` 0 is that of a root call.
    """
    return calls.Call(
        service=policy.service,
        method="GET",
        path="/",
        headers=(),
        body=call_body.EMPTY,
        caller="test",
        idempotency_key=None,
        policy=policy,
        chain=context.ChainContext(
            root_id=root_id,
            importance=importance,
            expires_at_ms=clock.get_now_ms() + remaining_ms,
            retry_allowance=allowed_retries,
            depth=depth,
        ),
    )
