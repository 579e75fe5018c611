"""The settings tree: inheritance, bounds and compilation into policies."""

from collections.abc import Iterable, Mapping
import dataclasses

from kumquatridge.settings import bounds
from kumquatridge.settings import errors
from kumquatridge.settings import node as settings_node
from kumquatridge.settings import policy

_NO_DEFAULTS = settings_node.NodeSettings()


class SettingsTree:
    """An immutable tree of nodes that satisfies every bound.

    `defaults` apply where the root node sets no value.
    """

    def __init__(
        self,
        source: str,
        nodes: Iterable[settings_node.Node],
        defaults: settings_node.NodeSettings = _NO_DEFAULTS,
    ) -> None:
        """Builds the tree and checks its nodes.

        `source` is named in error messages.

        Raises:
          SettingsError: a parent is missing, a value exceeds the bound of the
            parent, or two teams have a service of the same name.
        """
        self._source = source
        self._defaults = defaults
        by_path = {node.path: node for node in nodes}
        root = settings_node.Node(
            settings_node.ROOT_PATH, settings_node.NodeSettings()
        )
        by_path.setdefault(root.path, root)
        self._nodes: Mapping[str, settings_node.Node] = {
            path: by_path[path] for path in sorted(by_path)
        }
        self._effective: dict[str, settings_node.NodeSettings] = {}
        # The paths of the service nodes by service name.
        self._services: dict[str, str] = {}
        # The paths of the route nodes by the path of their service.
        self._routes: dict[str, list[str]] = {}
        for node in self._nodes.values():
            self._effective[node.path] = self._resolve(node)
            self._index(node.path)

    @property
    def nodes(self) -> Mapping[str, settings_node.Node]:
        """All nodes by path, parents before children."""
        return self._nodes

    @property
    def services(self) -> Mapping[str, str]:
        """The path of each service by its name."""
        return self._services

    def get_effective(self, path: str) -> settings_node.NodeSettings:
        """Returns the settings of a node, including those it inherits."""
        return self._effective[path]

    def _resolve(self, node: settings_node.Node) -> settings_node.NodeSettings:
        if node.path == settings_node.ROOT_PATH:
            return bounds.inherit(self._defaults, node.settings)
        parent = self._effective.get(settings_node.get_parent(node.path))
        if parent is None:
            raise errors.SettingsError(
                f"{self._source}: at {node.path}: the parent node is missing"
            )
        for violation in bounds.find_bound_violations(parent, node.settings):
            raise errors.LooserThanParentError(
                self._source, f"{node.path} {violation.field}", violation
            )
        return bounds.inherit(parent, node.settings)

    def _index(self, path: str) -> None:
        match settings_node.get_depth(path):
            case settings_node.SERVICE_DEPTH:
                name = settings_node.get_name(path)
                first_path = self._services.setdefault(name, path)
                if first_path != path:
                    raise errors.InvalidValueError(
                        self._source,
                        path,
                        name,
                        f"a service name other than that of {first_path}",
                    )
            case settings_node.ROUTE_DEPTH:
                parent = settings_node.get_parent(path)
                self._routes.setdefault(parent, []).append(path)

    def compile(self) -> policy.PolicyLookup:
        """Compiles the tree into the policy lookup for calls.

        Raises:
          SettingsError: a value is set neither in a node nor by the defaults.
        """
        return policy.PolicyLookup(
            {
                name: self._compile_service(path, name)
                for name, path in self._services.items()
            }
        )

    def _compile_service(
        self, path: str, service: str
    ) -> policy.ServicePolicies:
        matchers = [
            self._compile_route(route, service)
            for route in self._routes.get(path, ())
        ]
        matchers.sort(
            key=lambda matcher: (-len(matcher.path_prefix), not matcher.methods)
        )
        return policy.ServicePolicies(
            tuple(matchers), self._make_policy(path, service, "")
        )

    def _compile_route(self, path: str, service: str) -> policy.RouteMatcher:
        effective = self._effective[path]
        return policy.RouteMatcher(
            effective.path_prefix or "/",
            effective.methods or (),
            self._make_policy(path, service, settings_node.get_name(path)),
        )

    def _make_policy(
        self, path: str, service: str, route: str
    ) -> policy.RoutePolicy:
        """Returns the policy of a node; `route` is empty for a service."""
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
                f"{', '.join(missing)} in the node, its ancestors "
                "or the defaults"
            )
        return policy.RoutePolicy(service=service, route=route, **values)
