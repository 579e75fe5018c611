"""Gates as they ride on answers between daemons."""

from collections.abc import Iterable

import msgspec

from kumquatridge.admission import gates


class GateMessage(msgspec.Struct, frozen=True, array_like=True):
    """A gate with its age, since clocks differ."""

    service: str
    instance: str
    level: float
    nested_level: float
    routes: tuple[str, ...]
    age_ms: float


def encode_gates(
    known: Iterable[gates.Gate], now_ms: float
) -> tuple[GateMessage, ...]:
    """Returns gates as messages."""
    return tuple(
        [
            GateMessage(
                one.service,
                one.instance,
                round(one.level, 3),
                round(one.downstream_level, 3),
                tuple(sorted(one.root_routes)),
                round(now_ms - one.reported_at_ms, 1),
            )
            for one in known
        ]
    )


def decode_gates(
    messages: tuple[GateMessage, ...], now_ms: float
) -> tuple[gates.Gate, ...]:
    """Returns the gates of messages."""
    return tuple(
        [
            gates.Gate(
                one.service,
                one.instance,
                one.level,
                one.nested_level,
                frozenset(one.routes),
                now_ms - one.age_ms,
            )
            for one in messages
        ]
    )
