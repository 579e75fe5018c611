"""Turns what an operator wants into changes of nodes, after checking them."""

from collections.abc import Iterable, Iterator, Mapping
import dataclasses

from kumquatridge.settings import credentials
from kumquatridge.settings import errors
from kumquatridge.settings import fitting
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import record as settings_record
from kumquatridge.settings import repository
from kumquatridge.settings import tree
from kumquatridge.settings import writer


@dataclasses.dataclass(frozen=True, slots=True)
class Edit:
    """The nodes that shall stand at and below a path.

    With `keep_children` the path's own node is replaced alone.
    """

    source: str
    path: str
    nodes: tuple[settings_node.Node, ...]
    keep_children: bool = False

    def covers(self, path: str) -> bool:
        """Tells whether the edit decides about a node."""
        if self.keep_children or path == self.path:
            return path == self.path
        return path.startswith(f"{self.path.rstrip('/')}/")


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The changes to write, in order, and what they do to other nodes."""

    changes: tuple[writer.Change, ...]
    warnings: tuple[str, ...]


Current = Mapping[str, repository.StoredObject]


def index(listing: repository.Listing) -> Current:
    """Returns the objects of a listing by path."""
    found: dict[str, repository.StoredObject] = {}
    for one in listing.objects:
        match one:
            case settings_record.StoredNode(record=record):
                found[record.path] = one
            case repository.Damaged(path=path):
                found[path] = one
    return found


def list_nodes(current: Current) -> Iterator[settings_node.Node]:
    """Yields the nodes that are not deleted."""
    for one in current.values():
        node = _get_node(one)
        if node is not None:
            yield node


def get_versions(current: Current) -> Mapping[str, int]:
    """Returns the version of each node."""
    versions: dict[str, int] = {}
    for path, one in current.items():
        match one:
            case settings_record.StoredNode(record=record):
                versions[path] = record.version
            case repository.Damaged():
                pass
    return versions


def plan(
    edit: Edit,
    current: Current,
    defaults: settings_node.NodeSettings,
    credential: credentials.Credential | None = None,
) -> Plan:
    """Checks an edit and returns its changes.

    Raises:
      SettingsError: the edit is not valid, or not the credential's to make;
        nothing was changed.
    """
    warnings = _check(edit, current, defaults)
    changes = tuple(_find_changes(edit, current))
    if credential is not None:
        _check_owner(edit, credential, changes)
    return Plan(changes, warnings)


def _get_node(one: repository.StoredObject) -> settings_node.Node | None:
    match one:
        case settings_record.StoredNode(record=record):
            return record.make_node()
        case repository.Damaged():
            return None


def _check(
    edit: Edit, current: Current, defaults: settings_node.NodeSettings
) -> tuple[str, ...]:
    others = [
        node for node in list_nodes(current) if not edit.covers(node.path)
    ]
    above = [node for node in others if not _is_below(edit.path, node.path)]
    fitted = fitting.fit(above, defaults).nodes
    tree.SettingsTree(edit.source, (*fitted, *edit.nodes), defaults)
    whole = fitting.fit((*others, *edit.nodes), defaults)
    return tuple(map(fitting.describe, whole.adjustments))


def _is_below(top: str, path: str) -> bool:
    return path != top and path.startswith(f"{top.rstrip('/')}/")


def _find_changes(edit: Edit, current: Current) -> Iterator[writer.Change]:
    """Yields changes, parents first, then removals, children first."""
    wanted = {node.path: node.settings for node in edit.nodes}
    for path in sorted(wanted):
        base = current.get(path)
        node = None if base is None else _get_node(base)
        if node is None or node.settings != wanted[path]:
            yield writer.Change(path, wanted[path], base)
    gone = [
        node.path
        for node in list_nodes(current)
        if edit.covers(node.path) and node.path not in wanted
    ]
    for path in sorted(gone, reverse=True):
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
