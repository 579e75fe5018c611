"""The settings tree: inheritance, bounds and compilation to policies."""

from collections.abc import Iterable, Mapping
import dataclasses

from kumquatridge.settings import errors
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import policy

SERVICE_DEPTH = 2
ROUTE_DEPTH = 3

_BOUNDED_FIELDS = (
    "importance",
    "deadline_ms",
    "retry_allowance",
    "max_body_bytes",
)


def get_depth(path: str) -> int:
    """Returns 0 for the root, 1 for a team, 2 for a service, 3 for a route."""
    return 0 if path == settings_node.ROOT_PATH else path.count("/")


def get_parent(path: str) -> str:
    """Returns the path of the node above."""
    return path.rsplit("/", 1)[0] or settings_node.ROOT_PATH


def _inherit(
    parent: settings_node.NodeSettings, own: settings_node.NodeSettings
) -> settings_node.NodeSettings:
    changes = {
        field.name: getattr(parent, field.name)
        for field in dataclasses.fields(own)
        if getattr(own, field.name) is None
    }
    return dataclasses.replace(own, **changes)


class SettingsTree:
    """An immutable tree of nodes that satisfies every bound."""

    def __init__(self, source: str, nodes: Iterable[settings_node.Node]):
        """Checks the nodes.

        Raises:
          SettingsError: a parent is missing or a child loosens a bound.
        """
        ordered = sorted(nodes, key=lambda node: node.path)
        self._nodes: Mapping[str, settings_node.Node] = {
            node.path: node for node in ordered
        }
        self._effective: dict[str, settings_node.NodeSettings] = {}
        self._source = source
        for node in ordered:
            self._effective[node.path] = self._resolve(node)

    @property
    def nodes(self) -> Mapping[str, settings_node.Node]:
        """All nodes by path."""
        return self._nodes

    def get_effective(self, path: str) -> settings_node.NodeSettings:
        """Returns a node's settings with everything it inherits."""
        return self._effective[path]

    def _resolve(self, node: settings_node.Node) -> settings_node.NodeSettings:
        if node.path == settings_node.ROOT_PATH:
            return node.settings
        parent = self._effective.get(get_parent(node.path))
        if parent is None:
            raise errors.SettingsError(
                f"{self._source}: at {node.path}: the node above is missing"
            )
        self._check_bounds(node, parent)
        return _inherit(parent, node.settings)

    def _check_bounds(
        self, node: settings_node.Node, parent: settings_node.NodeSettings
    ) -> None:
        for name in _BOUNDED_FIELDS:
            own, bound = getattr(node.settings, name), getattr(parent, name)
            if own is not None and bound is not None and own > bound:
                raise errors.InvalidValueError(
                    self._source,
                    f"{node.path} {name}",
                    own,
                    f"at most {bound!r}, the bound of the node above",
                )

    def compile(self) -> policy.PolicyLookup:
        """Builds the lookup that serves calls."""
        services: dict[str, policy.ServicePolicies] = {}
        for path in self._nodes:
            if get_depth(path) == SERVICE_DEPTH:
                name = path.rsplit("/", 1)[1]
                services[name] = self._compile_service(path, name)
        return policy.PolicyLookup(services)

    def _compile_service(
        self, path: str, service: str
    ) -> policy.ServicePolicies:
        matchers = [
            self._compile_route(route, service)
            for route in self._nodes
            if get_depth(route) == ROUTE_DEPTH and get_parent(route) == path
        ]
        matchers.sort(key=lambda matcher: -len(matcher.path_prefix))
        return policy.ServicePolicies(
            tuple(matchers), self._make_policy(path, service, "")
        )

    def _compile_route(self, path: str, service: str) -> policy.RouteMatcher:
        effective = self._effective[path]
        name = path.rsplit("/", 1)[1]
        return policy.RouteMatcher(
            effective.path_prefix or "/",
            effective.methods or (),
            self._make_policy(path, service, name),
        )

    def _make_policy(
        self, path: str, service: str, route: str
    ) -> policy.RoutePolicy:
        effective = self._effective[path]
        values = {
            field.name: getattr(effective, field.name)
            for field in dataclasses.fields(effective)
        }
        del values["path_prefix"]
        del values["methods"]
        missing = [name for name, value in values.items() if value is None]
        if missing:
            raise errors.SettingsError(
                f"{self._source}: at {path}: no value for "
                f"{', '.join(missing)}, neither here nor above"
            )
        return policy.RoutePolicy(service=service, route=route, **values)
