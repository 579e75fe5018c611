"""Makes a valid tree of nodes that were written independently.

Writers check a change against the tree that they read, but two accepted
changes of different nodes may disagree: a parent tightened while a child was
written, a team deleted while a service was added, the same service added in
two teams. The nodes stay as written; what is in force is fitted, in the same
way at every daemon.
"""

from collections.abc import Iterable
import dataclasses

from kumquatridge.settings import bounds
from kumquatridge.settings import node as settings_node


@dataclasses.dataclass(frozen=True, slots=True)
class Clamped:
    """A value was lowered to the bound of the node above."""

    path: str
    excess: bounds.Excess


@dataclasses.dataclass(frozen=True, slots=True)
class Orphaned:
    """A node was left out because the node above is gone."""

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceTaken:
    """A service was left out because another team has one of that name."""

    path: str
    taken_by: str


Adjustment = Clamped | Orphaned | ServiceTaken


@dataclasses.dataclass(frozen=True, slots=True)
class FittedNodes:
    """Nodes that satisfy every bound, and what was changed for it."""

    nodes: tuple[settings_node.Node, ...]
    adjustments: tuple[Adjustment, ...]


def describe(adjustment: Adjustment) -> str:
    """Returns an adjustment in words for operators."""
    match adjustment:
        case Clamped(path, excess):
            return (
                f"{path} {excess.field}: {excess.value!r} lowered to "
                f"{excess.bound!r}, the bound of the node above"
            )
        case Orphaned(path):
            return f"{path}: not in force, the node above is missing"
        case ServiceTaken(path, taken_by):
            return f"{path}: not in force, {taken_by} has the same name"


def fit(
    nodes: Iterable[settings_node.Node], defaults: settings_node.NodeSettings
) -> FittedNodes:
    """Returns the nodes that are in force."""
    fitter = _Fitter(defaults)
    for node in sorted(nodes, key=lambda node: node.path):
        fitter.add(node)
    return FittedNodes(tuple(fitter.nodes), tuple(fitter.adjustments))


class _Fitter:
    """Takes nodes in the order of their paths, parents first."""

    def __init__(self, defaults: settings_node.NodeSettings) -> None:
        self.nodes: list[settings_node.Node] = []
        self.adjustments: list[Adjustment] = []
        self._effective = {settings_node.ROOT_PATH: defaults}
        self._services: dict[str, str] = {}

    def add(self, node: settings_node.Node) -> None:
        """Takes a node, fitted, or leaves it out."""
        if node.path == settings_node.ROOT_PATH:
            self._take(
                node, bounds.inherit(self._effective["/"], node.settings)
            )
            return
        parent = self._effective.get(settings_node.get_parent(node.path))
        if parent is None:
            self.adjustments.append(Orphaned(node.path))
        elif not self._is_taken(node.path):
            self._clamp(node, parent)

    def _is_taken(self, path: str) -> bool:
        if settings_node.get_depth(path) != settings_node.SERVICE_DEPTH:
            return False
        name = settings_node.get_name(path)
        taken_by = self._services.setdefault(name, path)
        if taken_by == path:
            return False
        self.adjustments.append(ServiceTaken(path, taken_by))
        return True

    def _clamp(
        self, node: settings_node.Node, parent: settings_node.NodeSettings
    ) -> None:
        excesses = tuple(bounds.find_excesses(parent, node.settings))
        settings = node.settings
        if excesses:
            settings = bounds.clamp(settings, excesses)
            node = dataclasses.replace(node, settings=settings)
        self.adjustments.extend(
            Clamped(node.path, excess) for excess in excesses
        )
        self._take(node, bounds.inherit(parent, settings))

    def _take(
        self, node: settings_node.Node, effective: settings_node.NodeSettings
    ) -> None:
        self.nodes.append(node)
        self._effective[node.path] = effective
