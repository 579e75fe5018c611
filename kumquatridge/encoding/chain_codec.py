"""Encodes the context of a call chain, for a header between daemons."""

import msgspec
from returns import result

from kumquatridge import clock
from kumquatridge.calls import importance as call_importance
from kumquatridge.chain import context


class _ChainMessage(msgspec.Struct, frozen=True, array_like=True):
    """A `chain.context.ChainContext` on the wire, without some of its fields.

    Older daemons don't send the fields that have defaults. `remaining_ms` is
    the time until the deadline when the context is encoded.
    """

    root_id: str
    importance: int
    remaining_ms: float
    retry_allowance: int
    depth: int
    slot_held_ms: float = 0.0
    waited_ms: float = 0.0
    is_contended: bool = False


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(_ChainMessage)


def encode_chain(chain: context.ChainContext) -> str:
    """Encodes a context as a JSON array.

    The deadline is sent as the remaining time, since clocks differ between
    instances.
    """
    message = _ChainMessage(
        chain.root_id,
        int(chain.importance),
        chain.get_remaining_ms(),
        chain.retry_allowance,
        chain.depth,
        chain.slot_held_ms,
        chain.waited_ms,
        chain.is_contended,
    )
    return _encoder.encode(message).decode()


def decode_chain(text: str) -> result.Result[context.ChainContext, str]:
    """Decodes a context, or returns a `Failure` that says what is wrong."""
    try:
        message = _decoder.decode(text)
        importance = call_importance.Importance(message.importance)
    except (msgspec.DecodeError, ValueError) as error:
        return result.Failure(str(error))
    chain = context.ChainContext(
        root_id=message.root_id,
        importance=importance,
        expires_at_ms=clock.get_now_ms() + message.remaining_ms,
        retry_allowance=message.retry_allowance,
        depth=message.depth,
        slot_held_ms=message.slot_held_ms,
        waited_ms=message.waited_ms,
        is_contended=message.is_contended,
    )
    return result.Success(chain)
