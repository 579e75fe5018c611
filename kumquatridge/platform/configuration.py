"""Decodes the configuration that the platform's operators write."""

import math

import msgspec

from kumquatridge import decode_errors
from kumquatridge.calls import importance as call_importance
from kumquatridge.platform import errors
from kumquatridge.platform import objects
from kumquatridge.settings import errors as settings_errors
from kumquatridge.settings import route_watch
from kumquatridge.settings import routes
from kumquatridge.telemetry import events

KEY = "config/main"
MS_PER_S = 1000.0
# A day; longer times of a route are taken for an error.
MAX_DURATION_S = 86_400.0
IDEMPOTENT = "idempotent"
# Importance by rank, the highest first; all further ranks map to the last.
_IMPORTANCE_BY_RANK = (
    call_importance.Importance.CRITICAL,
    call_importance.Importance.NORMAL,
    call_importance.Importance.SHEDDABLE,
    call_importance.Importance.BACKGROUND,
)


class _WeightedService(msgspec.Struct, rename="camel"):
    service: str
    # Relative to the weights of the route's other services.
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    # IDEMPOTENT if requests may be repeated; with other values they may not.
    route_type: str
    timeout_s: float
    # Latency objective; answers within it count in full. 0 means `timeout_s`.
    target_latency_s: float = 0.0
    # A rank: 0 is the highest.
    priority: int = 0
    # Attempts of a request, the first one included.
    max_attempts: int = 1
    # Not used if there are `weighted_clusters`.
    service: str | None = None
    # Services among which the calls are split by weight.
    weighted_clusters: tuple[_WeightedService, ...] = ()


class _Service(msgspec.Struct, rename="camel"):
    name: str
    health_path: str = "/healthz"
    # 0 if not published; limits nothing (see `routes.ServiceProfile`).
    max_connections: int = 0


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class _Configuration(msgspec.Struct, rename="camel"):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)


_decoder = msgspec.json.Decoder(_Configuration)


def decode_configuration(data: bytes) -> routes.RouteTable:
    """Decodes a configuration into a route table.

    Raises:
      PlatformAnswerError: the bytes are no valid configuration.
    """
    try:
        decoded = _decoder.decode(data)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.PlatformAnswerError(
            f"can't decode {KEY}: {error}"
        ) from error
    limits = decoded.limits
    return routes.RouteTable(
        decoded.version,
        tuple(_make_route(item) for item in decoded.routes),
        tuple(
            routes.ServiceProfile(
                item.name, item.health_path, item.max_connections
            )
            for item in decoded.services
        ),
        routes.CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s * MS_PER_S,
            limits.idle_timeout_s * MS_PER_S,
        ),
    )


def _make_route(route: _Route) -> routes.Route:
    if route.weighted_clusters:
        shares = tuple(
            routes.WeightedService(cluster.service, cluster.weight)
            for cluster in route.weighted_clusters
        )
    elif route.service is not None:
        shares = (routes.WeightedService(route.service, 1.0),)
    else:
        raise errors.PlatformAnswerError(
            f"{KEY}: route {route.name!r} has no service"
        )
    for seconds in (route.timeout_s, route.target_latency_s):
        if not 0.0 <= seconds <= MAX_DURATION_S:
            raise errors.PlatformAnswerError(
                f"{KEY}: route {route.name!r} has a duration of {seconds} s,"
                f" expected 0 to {MAX_DURATION_S} s"
            )
    timeout_ms = math.floor(route.timeout_s * MS_PER_S)
    rank = min(max(0, route.priority), len(_IMPORTANCE_BY_RANK) - 1)
    return routes.Route(
        route.name,
        route.host,
        route.path_prefix,
        shares,
        _IMPORTANCE_BY_RANK[rank],
        route.route_type == IDEMPOTENT,
        timeout_ms,
        math.floor(route.target_latency_s * MS_PER_S) or timeout_ms,
        route.max_attempts,
    )


class ConfigurationRepository:
    """Reads the route table from the platform's store."""

    def __init__(self, api: objects.ObjectApi) -> None:
        self._api = api

    async def read(
        self, *, allow_stale: bool = False
    ) -> route_watch.RouteTableSnapshot:
        """Returns the latest table; see `route_watch.RouteRepository`."""
        try:
            listing = await self._api.list_objects(KEY, allow_stale=allow_stale)
            return self._decode_latest(listing.objects, listing.version)
        except errors.PlatformMalformedError as error:
            # Another object of the kind makes the whole listing unreadable.
            events.log(events.PlatformEntrySkipped(KEY, str(error)))
            return await self._read_single(allow_stale=allow_stale)
        except errors.PlatformError as error:
            raise settings_errors.RepositoryError(str(error)) from error

    async def _read_single(
        self, *, allow_stale: bool
    ) -> route_watch.RouteTableSnapshot:
        """Reads only the configuration, at its own revision."""
        try:
            stored = await self._api.get(KEY, allow_stale=allow_stale)
        except errors.PlatformError as error:
            raise settings_errors.RepositoryError(str(error)) from error
        if stored is None:
            return route_watch.RouteTableSnapshot(None, objects.NOT_STORED)
        return self._decode_latest((stored,), stored.version)

    async def wait_for_change(
        self, since_revision: int, window_ms: float
    ) -> route_watch.RouteTableSnapshot:
        """Waits for a newer table; see `route_watch.RouteRepository`.

        Raises:
          HistoryLostError: the store no longer has the changes.
          RepositoryError: the store failed.
        """
        try:
            changes = await self._api.wait_for_changes(
                KEY, since_revision, window_ms / MS_PER_S
            )
        except errors.PlatformHistoryLostError as error:
            raise settings_errors.HistoryLostError(str(error)) from error
        except errors.PlatformError as error:
            raise settings_errors.RepositoryError(str(error)) from error
        return self._decode_latest(changes.objects, changes.version)

    def _decode_latest(
        self, candidates: tuple[objects.PlatformObject, ...], revision: int
    ) -> route_watch.RouteTableSnapshot:
        """Decodes the last configuration among `candidates`, oldest first.

        If there is none, or it was deleted or is invalid, the snapshot has no
        table, and the table in force is kept.
        """
        matching = [item for item in candidates if item.key == KEY]
        if not matching or matching[-1].value is None:
            return route_watch.RouteTableSnapshot(None, revision)
        try:
            table = decode_configuration(matching[-1].value)
        except errors.PlatformAnswerError as error:
            events.log(events.RoutesRejected(revision, str(error)))
            return route_watch.RouteTableSnapshot(None, revision)
        return route_watch.RouteTableSnapshot(table, revision)
