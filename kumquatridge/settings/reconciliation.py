"""Reconciles independently written nodes into a valid tree.

Writers validate a change against the tree that they read, but two accepted
changes of different nodes may conflict: a parent tightened while a child was
written, a team deleted while a service was added, the same service added to
two teams. The stored nodes stay as written; every daemon derives the nodes in
force from them by the same deterministic rules.
"""

from collections.abc import Iterable
import dataclasses

from kumquatridge.settings import bounds
from kumquatridge.settings import node as settings_node


@dataclasses.dataclass(frozen=True, slots=True)
class Clamped:
    """A value was lowered to the bound set by the parent node."""

    path: str
    violation: bounds.BoundViolation


@dataclasses.dataclass(frozen=True, slots=True)
class Orphaned:
    """A node was omitted because its parent node does not exist."""

    path: str


@dataclasses.dataclass(frozen=True, slots=True)
class DuplicateService:
    """A service was omitted because another team has one of the same name.

    `kept_path` is the path of the service that stays in force.
    """

    path: str
    kept_path: str


Adjustment = Clamped | Orphaned | DuplicateService


@dataclasses.dataclass(frozen=True, slots=True)
class ReconciledNodes:
    """Nodes that satisfy every bound, and the adjustments this required."""

    nodes: tuple[settings_node.Node, ...]
    adjustments: tuple[Adjustment, ...]


def describe(adjustment: Adjustment) -> str:
    """Returns a description of an adjustment for operators."""
    match adjustment:
        case Clamped(path, violation):
            return (
                f"{path} {violation.field}: {violation.value!r} lowered to "
                f"{violation.bound!r}, the bound set by the parent node"
            )
        case Orphaned(path):
            return f"{path}: not in force, its parent node is missing"
        case DuplicateService(path, kept_path):
            return (
                f"{path}: not in force, {kept_path} has the same service name"
            )


def reconcile(
    nodes: Iterable[settings_node.Node], defaults: settings_node.NodeSettings
) -> ReconciledNodes:
    """Returns the nodes in force, with values clamped to their bounds."""
    reconciler = _Reconciler(defaults)
    for node in sorted(nodes, key=lambda node: node.path):
        reconciler.add(node)
    return ReconciledNodes(
        tuple(reconciler.nodes), tuple(reconciler.adjustments)
    )


class _Reconciler:
    """Processes nodes in the order of their paths, parents first."""

    def __init__(self, defaults: settings_node.NodeSettings) -> None:
        self.nodes: list[settings_node.Node] = []
        self.adjustments: list[Adjustment] = []
        # The settings of each accepted node, including those it inherits.
        self._effective = {settings_node.ROOT_PATH: defaults}
        self._path_by_service: dict[str, str] = {}

    def add(self, node: settings_node.Node) -> None:
        """Adds a node with its values clamped, or omits it."""
        if node.path == settings_node.ROOT_PATH:
            self._accept(
                node, bounds.inherit(self._effective["/"], node.settings)
            )
            return
        parent = self._effective.get(settings_node.get_parent(node.path))
        if parent is None:
            self.adjustments.append(Orphaned(node.path))
        elif not self._is_duplicate_service(node.path):
            self._clamp(node, parent)

    def _is_duplicate_service(self, path: str) -> bool:
        if settings_node.get_depth(path) != settings_node.SERVICE_DEPTH:
            return False
        name = settings_node.get_name(path)
        kept_path = self._path_by_service.setdefault(name, path)
        if kept_path == path:
            return False
        self.adjustments.append(DuplicateService(path, kept_path))
        return True

    def _clamp(
        self, node: settings_node.Node, parent: settings_node.NodeSettings
    ) -> None:
        violations = tuple(bounds.find_bound_violations(parent, node.settings))
        settings = node.settings
        if violations:
            settings = bounds.clamp(settings, violations)
            node = dataclasses.replace(node, settings=settings)
        self.adjustments.extend(
            Clamped(node.path, violation) for violation in violations
        )
        self._accept(node, bounds.inherit(parent, settings))

    def _accept(
        self, node: settings_node.Node, effective: settings_node.NodeSettings
    ) -> None:
        self.nodes.append(node)
        self._effective[node.path] = effective
