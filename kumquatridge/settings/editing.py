"""Validates an edit of the settings tree and plans the node changes for it."""

from collections.abc import Iterable, Iterator, Mapping
import dataclasses

from kumquatridge.settings import credentials
from kumquatridge.settings import errors
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import reconciliation
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import repository
from kumquatridge.settings import tree
from kumquatridge.settings import writer


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """The desired nodes at and below a path.

    With `keep_children` only the node at the path itself is replaced. `source`
    is where the edit comes from, such as a file; error messages name it.
    """

    source: str
    path: str
    nodes: tuple[settings_node.Node, ...]
    keep_children: bool = False

    def covers(self, path: str) -> bool:
        """Returns whether the edit determines the content of a node."""
        if self.keep_children or path == self.path:
            return path == self.path
        return path.startswith(f"{self.path.rstrip('/')}/")


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The changes to write, in order, and warnings for the operator.

    Each warning describes a conflict between nodes that the daemons would
    resolve by `reconciliation`.
    """

    changes: tuple[writer.Change, ...]
    warnings: tuple[str, ...]


ObjectsByPath = Mapping[str, repository.StoredObject]


def index(listing: repository.Listing) -> ObjectsByPath:
    """Returns the objects of a listing by path."""
    objects: dict[str, repository.StoredObject] = {}
    for stored_object in listing.objects:
        match stored_object:
            case settings_record.StoredNode(record=record):
                objects[record.path] = stored_object
            case repository.Damaged(path=path):
                objects[path] = stored_object
    return objects


def list_nodes(current: ObjectsByPath) -> Iterator[settings_node.Node]:
    """Yields the nodes that are neither deleted nor damaged."""
    for stored_object in current.values():
        node = _get_node(stored_object)
        if node is not None:
            yield node


def get_versions(current: ObjectsByPath) -> Mapping[str, int]:
    """Returns the version of each node by path, without damaged objects."""
    versions: dict[str, int] = {}
    for path, stored_object in current.items():
        match stored_object:
            case settings_record.StoredNode(record=record):
                versions[path] = record.version
            case repository.Damaged():
                pass
    return versions


def plan(
    edit: Edit,
    current: ObjectsByPath,
    defaults: settings_node.NodeSettings,
    credential: credentials.Credential | None = None,
) -> Plan:
    """Checks an edit and returns the changes to write; writes nothing itself.

    `current` has the objects that the platform stores, and `defaults` apply
    where the root node sets no value. Without `credential`, permissions are not
    checked.

    Raises:
      SettingsError: the edit is not valid, or the credential does not cover
        every node that it changes.
    """
    warnings = _check(edit, current, defaults)
    changes = tuple(_find_changes(edit, current))
    if credential is not None:
        _check_owner(edit, credential, changes)
    return Plan(changes, warnings)


def _get_node(
    stored_object: repository.StoredObject,
) -> settings_node.Node | None:
    match stored_object:
        case settings_record.StoredNode(record=record):
            return record.make_node()
        case repository.Damaged():
            return None


def _check(
    edit: Edit, current: ObjectsByPath, defaults: settings_node.NodeSettings
) -> tuple[str, ...]:
    """Checks the nodes of an edit and returns warnings about conflicts.

    The edited nodes must be valid together with the nodes outside the subtree.
    Conflicts that reconciliation resolves, as with children that the edit
    keeps, are only warnings.
    """
    kept = [node for node in list_nodes(current) if not edit.covers(node.path)]
    outside = [node for node in kept if not _is_below(edit.path, node.path)]
    reconciled_outside = reconciliation.reconcile(outside, defaults).nodes
    tree.SettingsTree(edit.source, (*reconciled_outside, *edit.nodes), defaults)
    result = reconciliation.reconcile((*kept, *edit.nodes), defaults)
    return tuple(map(reconciliation.describe, result.adjustments))


def _is_below(top: str, path: str) -> bool:
    return path != top and path.startswith(f"{top.rstrip('/')}/")


def _find_changes(
    edit: Edit, current: ObjectsByPath
) -> Iterator[writer.Change]:
    """Yields writes, parents first, then deletions, children first."""
    wanted = {node.path: node.settings for node in edit.nodes}
    for path in sorted(wanted):
        base = current.get(path)
        node = None if base is None else _get_node(base)
        if node is None or node.settings != wanted[path]:
            yield writer.Change(path, wanted[path], base)
    removed_paths = [
        node.path
        for node in list_nodes(current)
        if edit.covers(node.path) and node.path not in wanted
    ]
    for path in sorted(removed_paths, reverse=True):
        yield writer.Change(path, None, current.get(path))


def _check_owner(
    edit: Edit,
    credential: credentials.Credential,
    changes: Iterable[writer.Change],
) -> None:
    for change in changes:
        if not credential.covers(change.path):
            raise errors.SettingsError(
                f"{edit.source}: at {change.path}: the credential of "
                f"{credential.owner} does not cover this node"
            )
