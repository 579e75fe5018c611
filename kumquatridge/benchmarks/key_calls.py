"""Calls and members of the simulation of idempotency keys.

All belong to one service.
"""

from kumquatridge import clock
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance
from kumquatridge.chain import context
from kumquatridge.idempotency import settings as key_settings
from kumquatridge.membership import member as members
from kumquatridge.settings import policy as settings_policy

SERVICE = "ordering"
SETTINGS = key_settings.KeySettings(
    bare_key_max_age_ms=2_000,
    transit_ms=200,
    retention_ms=20_000,
    max_keys=10_000,
)
DEADLINE_MS = 500.0
CALL_ID_HEADER = "x-contact"
POLICY = settings_policy.RoutePolicy(
    service=SERVICE,
    route="booking",
    importance=importance.Importance.CRITICAL,
    idempotent=False,
    deadline_ms=int(DEADLINE_MS),
    retry_allowance=2,
    long_running=False,
    max_body_bytes=1_000_000,
    queue_wait_ms=100,
)


def make_member(instance: str) -> members.Member:
    """Returns the member of an instance with an announced worker."""
    return members.Member(
        instance=instance,
        incarnation=1,
        data_centre="landshut",
        call_address=f"{instance}:1",
        control_address=f"{instance}:2",
        announcement=members.Announcement(SERVICE, f"{instance}:3", 10, 40),
    )


def make_call(key: str, call_id: str, age_ms: int | None) -> calls.Call:
    """Returns a call; a resend has the same key but another `call_id`."""
    return calls.Call(
        service=SERVICE,
        method="POST",
        path="/bookings",
        headers=((CALL_ID_HEADER, call_id),),
        body=call_body.BufferedBody(key.encode()),
        caller="handset",
        idempotency_key=key,
        policy=POLICY,
        chain=context.ChainContext(
            root_id=call_id,
            importance=POLICY.importance,
            expires_at_ms=clock.get_now_ms() + DEADLINE_MS,
            retry_allowance=POLICY.retry_allowance,
            depth=0,
        ),
        key_age_ms=age_ms,
        received_ms=clock.get_now_ms(),
    )
