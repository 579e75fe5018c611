"""The settings tree compiled into one policy object per route."""

import dataclasses
import math

from kumquatridge.calls import importance as call_importance

# Unless it ends with a slash, a prefix matches only if one of these or nothing
# follows it.
PREFIX_DELIMITERS = "/?"


@dataclasses.dataclass(frozen=True, slots=True)
class RoutePolicy:
    """The effective settings of one route of one service.

    `route` is empty for the requests that match no route of the service.
    `importance` ranks calls under overload: the lowest are refused first.
    `idempotent` declares that a request may run more than once. `deadline_ms`
    is the longest time from the arrival of a request to its deadline,
    `retry_allowance` the number of retries granted to a request, and
    `queue_wait_ms` how long a call may wait for a slot at a worker.
    `long_running` declares that calls take far longer than most; once the
    service times of enough calls are known, these decide instead.
    `max_body_bytes` limits the body of a request. `objective_ms` is the latency
    objective, within which an answer is most useful to the caller; it is
    infinite if there is none.
    """

    service: str
    route: str
    importance: call_importance.Importance
    idempotent: bool
    deadline_ms: int
    retry_allowance: int
    long_running: bool
    max_body_bytes: int
    queue_wait_ms: int
    objective_ms: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True)
class RouteMatcher:
    """A route's path prefix and methods, and the policy of its requests.

    Without `methods` the route matches every method.
    """

    path_prefix: str
    methods: tuple[str, ...]
    policy: RoutePolicy

    def matches(self, method: str, path: str) -> bool:
        """Returns whether a request matches this route."""
        if self.methods and method not in self.methods:
            return False
        return self._matches_path(path)

    def _matches_path(self, path: str) -> bool:
        """Returns whether a path is the prefix or lies below it.

        `path` may be followed by a query, which does not count.
        """
        prefix = self.path_prefix
        if not path.startswith(prefix):
            return False
        rest = path[len(prefix) :]
        return not rest or prefix.endswith("/") or rest[0] in PREFIX_DELIMITERS


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePolicies:
    """The routes of a service in matching order, and its fallback policy.

    The route with the longest prefix comes first; among equal prefixes, routes
    limited to certain methods come before one for all methods. `fallback`
    applies to requests that match no route.
    """

    routes: tuple[RouteMatcher, ...]
    fallback: RoutePolicy


class PolicyLookup:
    """Finds the policy of a request; rebuilt whenever the settings change."""

    def __init__(self, services: dict[str, ServicePolicies]) -> None:
        self._services = services

    @property
    def services(self) -> tuple[str, ...]:
        """The names of all services in the tree."""
        return tuple(self._services)

    def find(self, service: str, method: str, path: str) -> RoutePolicy | None:
        """Returns the policy of a request, or None for an unknown service."""
        policies = self._services.get(service)
        if policies is None:
            return None
        for matcher in policies.routes:
            if matcher.matches(method, path):
                return matcher.policy
        return policies.fallback
