"""Gates as they ride on answers between daemons."""

from collections.abc import Iterable

import msgspec

from kumquatridge.admission import gates


class _GateMessage(msgspec.Struct, frozen=True, array_like=True):
    service: str
    instance: str
    level: float
    nested_level: float
    routes: tuple[str, ...]
    age_ms: float


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(tuple[_GateMessage, ...])


def encode_gates(known: Iterable[gates.Gate], now_ms: float) -> str:
    """Returns gates as a JSON array, with their ages."""
    return _encoder.encode(
        tuple(
            _GateMessage(
                one.service,
                one.instance,
                round(one.level, 3),
                round(one.nested_level, 3),
                tuple(sorted(one.routes)),
                round(now_ms - one.told_ms, 1),
            )
            for one in known
        )
    ).decode()


def decode_gates(text: str, now_ms: float) -> tuple[gates.Gate, ...]:
    """Returns the gates of a text, none when it is not one.

    Gates are hints of short life: those that are lost come with later answers.
    """
    try:
        messages = _decoder.decode(text)
    except msgspec.DecodeError:
        return ()
    return tuple(
        gates.Gate(
            one.service,
            one.instance,
            one.level,
            one.nested_level,
            frozenset(one.routes),
            now_ms - one.age_ms,
        )
        for one in messages
    )
