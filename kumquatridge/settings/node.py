"""One node of the settings tree: platform, team, service or route."""

import dataclasses
import re

from kumquatridge.calls import importance as call_importance

ROOT_PATH = "/"
SERVICE_DEPTH = 2
ROUTE_DEPTH = 3

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}")
NAME_RULE = "1 to 63 letters, digits, dots, dashes or underscores"


def get_depth(path: str) -> int:
    """Returns 0 for the root, 1 for a team, 2 for a service, 3 for a route."""
    return 0 if path == ROOT_PATH else path.count("/")


def get_parent(path: str) -> str:
    """Returns the path of the parent node; of a team, `ROOT_PATH`."""
    return path.rsplit("/", 1)[0] or ROOT_PATH


def get_name(path: str) -> str:
    """Returns the name of a node: the last segment of its path."""
    return path.rsplit("/", 1)[1]


def is_name(name: str) -> bool:
    """Returns whether a name is valid for a team, service or route."""
    return _NAME.fullmatch(name) is not None


def is_path(path: str) -> bool:
    """Returns whether a path is valid for a node."""
    if path == ROOT_PATH:
        return True
    if not path.startswith("/") or get_depth(path) > ROUTE_DEPTH:
        return False
    return all(is_name(name) for name in path[1:].split("/"))


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """The settings of a node itself; None inherits from the parent.

    A child may lower, but not raise, the `importance`, `deadline_ms`,
    `retry_allowance` and `max_body_bytes` of its parent. `path_prefix` and
    `methods` belong to routes only; a route also inherits them. The values are
    explained in `policy.RoutePolicy` and `policy.RouteMatcher`.
    """

    importance: call_importance.Importance | None = None
    idempotent: bool | None = None
    deadline_ms: int | None = None
    retry_allowance: int | None = None
    long_running: bool | None = None
    max_body_bytes: int | None = None
    queue_wait_ms: int | None = None
    path_prefix: str | None = None
    methods: tuple[str, ...] | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """A node: its path in the tree, such as /rounds/planning, and settings.

    `version` is 0 for a node that was read from a file.
    """

    path: str
    settings: NodeSettings
    version: int = 0
