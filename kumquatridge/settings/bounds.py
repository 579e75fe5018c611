"""Inheritance and the bounds that a node sets for those below it."""

from collections.abc import Iterator
import dataclasses
from typing import Any

from kumquatridge.settings import node as settings_node

_BOUNDED_FIELDS = (
    "importance",
    "deadline_ms",
    "retry_allowance",
    "max_body_bytes",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Excess:
    """A value that is looser than the node above allows."""

    field: str
    value: int
    bound: int


def inherit(
    parent: settings_node.NodeSettings, own: settings_node.NodeSettings
) -> settings_node.NodeSettings:
    """Returns a node's own settings, filled up from the node above."""
    changes = {
        field.name: getattr(parent, field.name)
        for field in dataclasses.fields(own)
        if getattr(own, field.name) is None
    }
    return dataclasses.replace(own, **changes)


def find_excesses(
    parent: settings_node.NodeSettings, own: settings_node.NodeSettings
) -> Iterator[Excess]:
    """Yields each value that is looser than the node above allows."""
    for name in _BOUNDED_FIELDS:
        value, bound = getattr(own, name), getattr(parent, name)
        if value is not None and bound is not None and value > bound:
            yield Excess(name, value, bound)


def clamp(
    own: settings_node.NodeSettings, excesses: tuple[Excess, ...]
) -> settings_node.NodeSettings:
    """Returns settings with each excess lowered to its bound."""
    changes: dict[str, Any] = {
        excess.field: excess.bound for excess in excesses
    }
    return dataclasses.replace(own, **changes)
