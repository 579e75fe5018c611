"""Inheritance of settings, and the bounds that a node sets on its subtree."""

from collections.abc import Iterator
import dataclasses
from typing import Any

from kumquatridge.settings import node as settings_node

# Fields in which a child node may lower, but not raise, its parent's value.
_BOUNDED_FIELDS = (
    "importance",
    "deadline_ms",
    "retry_allowance",
    "max_body_bytes",
)


@dataclasses.dataclass(frozen=True, slots=True)
class BoundViolation:
    """A value that exceeds the bound set by the parent node.

    `field` is the name of a field of `NodeSettings`.
    """

    field: str
    value: int
    bound: int


def inherit(
    parent: settings_node.NodeSettings, settings: settings_node.NodeSettings
) -> settings_node.NodeSettings:
    """Returns a node's settings with unset fields taken from its parent.

    `parent` has the settings that the parent node itself inherits, too.
    """
    changes = {
        field.name: getattr(parent, field.name)
        for field in dataclasses.fields(settings)
        if getattr(settings, field.name) is None
    }
    return dataclasses.replace(settings, **changes)


def find_bound_violations(
    parent: settings_node.NodeSettings, settings: settings_node.NodeSettings
) -> Iterator[BoundViolation]:
    """Yields each value that exceeds the bound set by the parent node."""
    for name in _BOUNDED_FIELDS:
        value, bound = getattr(settings, name), getattr(parent, name)
        if value is not None and bound is not None and value > bound:
            yield BoundViolation(name, value, bound)


def clamp(
    settings: settings_node.NodeSettings, violations: tuple[BoundViolation, ...]
) -> settings_node.NodeSettings:
    """Returns the settings with each violating value lowered to its bound."""
    changes: dict[str, Any] = {
        violation.field: violation.bound for violation in violations
    }
    return dataclasses.replace(settings, **changes)
