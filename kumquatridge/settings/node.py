"""One node of the settings tree: platform, team, service or route."""

import dataclasses

from kumquatridge.calls import importance as call_importance

ROOT_PATH = "/"


@dataclasses.dataclass(frozen=True, slots=True)
class NodeSettings:
    """What a node sets itself; None inherits from the parent.

    A child may only tighten `importance`, `deadline_ms`, `retry_allowance`
    and `max_body_bytes`. `path_prefix` belongs to routes only.
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
    """A node's path in the tree, such as /rounds/planning, and settings."""

    path: str
    settings: NodeSettings
    version: int = 0
