"""A routed call as it travels between daemons, beside its own headers."""

import msgspec
from returns import result

from kumquatridge import clock
from kumquatridge.calls import importance as call_importance
from kumquatridge.chain import context
from kumquatridge.settings import policy as settings_policy


class CallMark(msgspec.Struct, frozen=True, array_like=True):
    """What the receiving daemon needs beyond the request itself."""

    service: str
    route: str
    idempotent: bool
    queue_wait_ms: int
    caller: str
    root_id: str
    importance: call_importance.Importance
    remaining_ms: float
    retries: int
    depth: int
    worked_ms: float
    waited_ms: float
    is_contended: bool
    is_repeat: bool
    root_route: str


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(CallMark)


def encode_mark(
    policy: settings_policy.RoutePolicy,
    caller: str,
    chain: context.ChainContext,
) -> str:
    """Returns the mark as a JSON array."""
    mark = CallMark(
        policy.service,
        policy.route,
        policy.idempotent,
        policy.queue_wait_ms,
        caller,
        chain.root_id,
        chain.importance,
        round(chain.get_remaining_ms(), 1),
        chain.retries,
        chain.depth,
        round(chain.worked_ms, 1),
        round(chain.waited_ms, 1),
        chain.is_contended,
        chain.is_repeat,
        chain.root_route,
    )
    return _encoder.encode(mark).decode()


def decode_mark(text: str) -> result.Result[CallMark, str]:
    """Returns the mark, or what is wrong with the text."""
    try:
        return result.Success(_decoder.decode(text))
    except msgspec.DecodeError as error:
        return result.Failure(str(error))


def make_chain(mark: CallMark) -> context.ChainContext:
    """Returns the chain's context, with the deadline on the own clock."""
    return context.ChainContext(
        root_id=mark.root_id,
        importance=mark.importance,
        expires_at_ms=clock.get_now_ms() + mark.remaining_ms,
        retries=mark.retries,
        depth=mark.depth,
        worked_ms=mark.worked_ms,
        waited_ms=mark.waited_ms,
        is_contended=mark.is_contended,
        is_repeat=mark.is_repeat,
        root_route=mark.root_route,
    )


def make_policy(
    mark: CallMark, max_body_bytes: int
) -> settings_policy.RoutePolicy:
    """Returns the policy that the sending daemon found."""
    return settings_policy.RoutePolicy(
        service=mark.service,
        route=mark.route,
        importance=mark.importance,
        idempotent=mark.idempotent,
        deadline_ms=int(mark.remaining_ms),
        retry_allowance=mark.retries,
        long_running=False,
        max_body_bytes=max_body_bytes,
        queue_wait_ms=mark.queue_wait_ms,
    )
