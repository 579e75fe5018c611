"""Routes of hosts and paths to services, as the operators publish them.

The whole table is one version. It is compiled into an index once for each
version, so that a request costs one lookup for each segment of its path.
"""

from collections.abc import Iterator
import dataclasses

from kumquatridge.calls import importance as call_importance
from kumquatridge.settings import policy as settings_policy

NO_VERSION = 0
QUERY_MARK = "?"
SEPARATOR = "/"
# Part of the latency objective that a call may wait for a slot: what is left
# must suffice for the work itself and for one more try elsewhere.
QUEUE_WAIT_RATIO = 0.5
# The same for calls that a worker makes: the whole root is lost with them.
NESTED_WAIT_RATIO = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Share:
    """A service and its weight among those that a route leads to."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """What holds for requests to a host below a path.

    `timeout_ms` is how long a caller may be kept waiting, `objective_ms` the
    time within which an answer is worth most, and `max_attempts` the number
    of workers that one request may be sent to.
    """

    name: str
    host: str
    path_prefix: str
    shares: tuple[Share, ...]
    importance: call_importance.Importance
    idempotent: bool
    timeout_ms: int
    objective_ms: int
    max_attempts: int


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceProfile:
    """What holds for all workers of a service."""

    name: str
    health_path: str
    max_connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long their connections stay idle."""

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
    """One service that a route leads to, with the policies of calls there.

    Calls that a worker makes have a policy of their own: more is lost with
    them than with a root, so that they may wait for a slot for longer.
    """

    weight: float
    policy: settings_policy.RoutePolicy
    nested: settings_policy.RoutePolicy


@dataclasses.dataclass(frozen=True, slots=True)
class CompiledRoute:
    """A route with its destinations."""

    route: Route
    destinations: tuple[Destination, ...]


class RouteIndex:
    """Finds the route of a request; made anew for each version."""

    def __init__(self, table: RouteTable) -> None:
        self.table = table
        self._by_host: dict[str, dict[str, CompiledRoute]] = {}
        self._services = {one.name: one for one in table.services}
        for route in table.routes:
            compiled = _compile(route, table.limits)
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.path_prefix] = compiled

    def find(self, host: str, target: str) -> CompiledRoute | None:
        """Returns the route with the longest prefix of a path, if any.

        `host` may carry a port and `target` a query; neither counts.
        """
        prefixes = self._by_host.get(_strip_port(host).lower())
        if prefixes is None:
            return None
        for prefix in _iter_prefixes(target.partition(QUERY_MARK)[0]):
            found = prefixes.get(prefix)
            if found is not None:
                return found
        return None

    def find_service(self, name: str) -> ServiceProfile | None:
        """Returns the profile of a service, if the table has it."""
        return self._services.get(name)


def _iter_prefixes(path: str) -> Iterator[str]:
    """Yields the prefixes of a path that end with a slash, longest first."""
    end = path.rfind(SEPARATOR)
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind(SEPARATOR, 0, end)


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
    route: Route, share: Share, limits: CallerLimits, wait_ratio: float
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
