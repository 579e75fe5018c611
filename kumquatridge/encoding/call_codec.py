"""Encodes calls between daemons of `kumquatridge.platform`, without bodies.

Daemons of `kumquatridge.daemon` send calls as HTTP requests, with the chain
context in a header; see `chain_codec`.
"""

import dataclasses
import functools

import msgspec
from returns import result

from kumquatridge import clock
from kumquatridge import decode_errors
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import outcomes
from kumquatridge.chain import context
from kumquatridge.settings import policy as settings_policy

# Distinct policies are few: they depend only on the route, the depth of the
# call and the version of the routes.
MAX_CACHED_POLICIES = 4096


class _CallMessage(msgspec.Struct, frozen=True, array_like=True):
    """A request with the parts of its policy and chain that are sent.

    `sender` is the instance whose daemon sent the call. The fields of the
    chain, from `root_id` on, are described in `chain.context.ChainContext`;
    `remaining_ms` is the time until the deadline when the call is encoded.
    """

    sender: str
    method: str
    path: str
    headers: outcomes.Headers
    request_id: str
    service: str
    route: str
    idempotent: bool
    queue_wait_ms: int
    caller: str
    root_id: str
    importance: call_importance.Importance
    remaining_ms: float
    retry_allowance: int
    depth: int
    slot_held_ms: float
    waited_ms: float
    is_contended: bool
    is_retry: bool
    root_route: str
    # Missing in messages of older daemons.
    attempt: int = 1


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_CallMessage)


@dataclasses.dataclass(frozen=True, slots=True)
class ReceivedCall:
    """A decoded call, and the instance whose daemon sent it."""

    sender: str
    call: calls.Call


def encode_call(call: calls.Call, sender: str) -> bytes:
    """Encodes a call in MessagePack, without its body."""
    policy, chain = call.policy, call.chain
    return _encoder.encode(
        _CallMessage(
            sender,
            call.method,
            call.path,
            call.headers,
            call.request_id,
            policy.service,
            policy.route,
            policy.idempotent,
            policy.queue_wait_ms,
            call.caller,
            chain.root_id,
            chain.importance,
            chain.get_remaining_ms(),
            chain.retry_allowance,
            chain.depth,
            chain.slot_held_ms,
            chain.waited_ms,
            chain.is_contended,
            chain.is_retry,
            chain.root_route,
            call.attempt,
        )
    )


def decode_call(
    data: bytes, body: call_body.Body, max_body_bytes: int
) -> result.Result[ReceivedCall, str]:
    """Decodes a call, or returns a `Failure` that says what is wrong.

    `max_body_bytes` is this daemon's limit for the body, not the sender's.
    The message carries the remaining time, since clocks differ between
    instances; the deadline of the result is on the local clock.
    """
    try:
        message = _decoder.decode(data)
    except decode_errors.DECODE_ERRORS as error:
        return result.Failure(str(error))
    now_ms = clock.get_now_ms()
    policy = _make_policy(
        message.service,
        message.route,
        importance=message.importance,
        idempotent=message.idempotent,
        retries=message.retry_allowance,
        queue_wait_ms=message.queue_wait_ms,
        max_body_bytes=max_body_bytes,
    )
    call = calls.Call(
        service=message.service,
        method=message.method,
        path=message.path,
        headers=message.headers,
        body=body,
        caller=message.caller,
        # Daemons of `kumquatridge.platform` have no idempotency keys.
        idempotency_key=None,
        policy=policy,
        chain=_make_chain(message, now_ms),
        received_ms=now_ms,
        request_id=message.request_id,
        attempt=message.attempt,
    )
    return result.Success(ReceivedCall(message.sender, call))


def _make_chain(message: _CallMessage, now_ms: float) -> context.ChainContext:
    return context.ChainContext(
        message.root_id,
        message.importance,
        now_ms + message.remaining_ms,
        message.retry_allowance,
        message.depth,
        message.slot_held_ms,
        message.waited_ms,
        message.is_contended,
        message.is_retry,
        message.root_route,
    )


@functools.lru_cache(maxsize=MAX_CACHED_POLICIES)
def _make_policy(
    service: str,
    route: str,
    *,
    importance: call_importance.Importance,
    idempotent: bool,
    retries: int,
    queue_wait_ms: int,
    max_body_bytes: int,
) -> settings_policy.RoutePolicy:
    """Returns the policy that the sending daemon resolved for the call.

    `retries` is the retry allowance that was passed on with the call. Whether
    the route is long-running is not sent.
    """
    return settings_policy.RoutePolicy(
        service=service,
        route=route,
        importance=importance,
        idempotent=idempotent,
        deadline_ms=0,  # Unused: the deadline of the chain applies.
        retry_allowance=retries,
        long_running=False,
        max_body_bytes=max_body_bytes,
        queue_wait_ms=queue_wait_ms,
    )
