"""Encodes gates (see `admission.gates`), which daemons add to answers."""

from collections.abc import Iterable

import msgspec

from kumquatridge.admission import gates


class GateMessage(msgspec.Struct, frozen=True, array_like=True):
    """An `admission.gates.Gate` on the wire.

    `age_ms` is the time since the gate was reported. It replaces the time of
    the report, since clocks differ between instances.
    """

    service: str
    instance: str
    level: float
    downstream_level: float
    root_routes: tuple[str, ...]
    age_ms: float


def encode_gates(
    known_gates: Iterable[gates.Gate], now_ms: float
) -> tuple[GateMessage, ...]:
    """Returns the wire form of gates; levels are rounded to 0.001."""
    return tuple(
        [
            GateMessage(
                gate.service,
                gate.instance,
                round(gate.level, 3),
                round(gate.downstream_level, 3),
                tuple(sorted(gate.root_routes)),
                round(now_ms - gate.reported_at_ms, 1),
            )
            for gate in known_gates
        ]
    )


def decode_gates(
    messages: tuple[GateMessage, ...], now_ms: float
) -> tuple[gates.Gate, ...]:
    """Decodes gates; their ages become report times on the local clock."""
    return tuple(
        [
            gates.Gate(
                message.service,
                message.instance,
                message.level,
                message.downstream_level,
                frozenset(message.root_routes),
                now_ms - message.age_ms,
            )
            for message in messages
        ]
    )
