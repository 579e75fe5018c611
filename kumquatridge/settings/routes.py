"""Routes from hosts and paths to services, as published by the operators.

The table is versioned as a whole. Each version is compiled into an index once,
so that a request costs at most one lookup per segment of its path. These routes
are independent of the route nodes in the settings tree; see `node` and `tree`.
"""

from collections.abc import Iterator
import dataclasses

from kumquatridge.calls import importance as call_importance
from kumquatridge.settings import policy as settings_policy

# Version reported before the first table is in force.
NO_VERSION = 0
QUERY_DELIMITER = "?"
PATH_SEPARATOR = "/"
# Fraction of the latency objective that a call may wait for a slot: the rest
# must suffice for the work itself and for one retry at another worker.
QUEUE_WAIT_RATIO = 0.5
# The same for calls that a worker makes while it handles a request. They may
# wait for the whole objective: if such a call fails, the work already done for
# the request is lost.
NESTED_WAIT_RATIO = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its relative weight among the destinations of a route.

    With a weight of 0 the service gets no requests while another one has more.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """The rules for requests to a host below a path prefix.

    `timeout_ms` is the longest time that a caller waits for an answer,
    `objective_ms` the latency objective, within which an answer is most useful
    to the caller, and `max_attempts` the maximum number of workers that one
    request is sent to.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[WeightedService, ...]
    importance: call_importance.Importance
    idempotent: bool
    timeout_ms: int
    objective_ms: int
    max_attempts: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceProfile:
    """The settings common to all workers of a service.

    A worker is healthy if it answers a GET request for `health_path`.
    `max_connections` is kept as the operators publish it, 0 if they don't; it
    limits nothing here.
    """

    name: str
    health_path: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on requests from callers and on their idle connections.

    A request whose headers do not arrive within `header_timeout_ms` is refused.
    A connection that has no request for `idle_ms` is closed.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_ms: float = 3000.0
    idle_ms: float = 15_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class RouteTable:
    """All routes and services of one version."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceProfile, ...]
    limits: CallerLimits = CallerLimits()


@dataclasses.dataclass(frozen=True, slots=True)
class Destination:
    """A service that a route leads to, with the policies of calls to it.

    `weight` is relative to the other destinations of the route.

    `policy` applies to requests from callers, `nested_policy` to calls that a
    worker makes while it handles a request. A nested call may wait longer for a
    slot, because the work already done for the request is lost if it fails.
    """

    weight: float
    policy: settings_policy.RoutePolicy
    nested_policy: settings_policy.RoutePolicy


@dataclasses.dataclass(frozen=True, slots=True)
class CompiledRoute:
    """A route with its destinations."""

    route: Route
    destinations: tuple[Destination, ...]


class RouteIndex:
    """Finds the route of a request; rebuilt for each version of the table."""

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        # By host in lower case, then by path prefix.
        self._routes_by_host: dict[str, dict[str, CompiledRoute]] = {}
        self._services = {service.name: service for service in table.services}
        # Slashes in the longest prefix.
        self._max_slashes = max(
            (route.path_prefix.count(PATH_SEPARATOR) for route in table.routes),
            default=0,
        )
        for route in table.routes:
            compiled = _compile(route, table.limits)
            prefixes = self._routes_by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = compiled

    def find(self, host: str, target: str) -> CompiledRoute | None:
        """Returns the route with the longest prefix of the path, if any.

        A port in `host` and a query in `target` are ignored.
        """
        prefixes = self._routes_by_host.get(_strip_port(host).lower())
        if prefixes is None:
            return None
        path = target.partition(QUERY_DELIMITER)[0]
        for prefix in _iter_prefixes(path, self._max_slashes):
            compiled_route = prefixes.get(prefix)
            if compiled_route is not None:
                return compiled_route
        return None

    def find_service(self, name: str) -> ServiceProfile | None:
        """Returns the profile of a service, or None if the table has none."""
        return self._services.get(name)


def _iter_prefixes(path: str, max_slashes: int) -> Iterator[str]:
    """Yields the prefixes of a path that end with a slash, longest first.

    Those with more than `max_slashes` are left out: a path may consist of
    thousands of slashes.
    """
    rest = path.split(PATH_SEPARATOR, max_slashes)[-1]
    end = path.rfind(PATH_SEPARATOR, 0, len(path) - len(rest))
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind(PATH_SEPARATOR, 0, end)


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def _compile(route: Route, limits: CallerLimits) -> CompiledRoute:
    return CompiledRoute(
        route,
        tuple(
            Destination(
                share.weight,
                _make_policy(route, share, limits, QUEUE_WAIT_RATIO),
                _make_policy(route, share, limits, NESTED_WAIT_RATIO),
            )
            for share in route.shares
        ),
    )


def _make_policy(
    route: Route,
    share: WeightedService,
    limits: CallerLimits,
    wait_ratio: float,
) -> settings_policy.RoutePolicy:
    return settings_policy.RoutePolicy(
        service=share.service,
        route=route.name,
        importance=route.importance,
        idempotent=route.idempotent,
        deadline_ms=route.timeout_ms,
        retry_allowance=max(0, route.max_attempts - 1),
        long_running=False,
        max_body_bytes=limits.max_body_bytes,
        queue_wait_ms=int(route.objective_ms * wait_ratio),
        objective_ms=route.objective_ms,
    )
