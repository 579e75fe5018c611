"""Routes by host and path, and the split of requests by weight."""

import collections
import dataclasses

import pytest

from kumquatridge.calls import importance as call_importance
from kumquatridge.routing import splits
from kumquatridge.settings import route_store
from kumquatridge.settings import routes

HOST = "shop.example"


def make_route(
    name: str, prefix: str, *shares: tuple[str, float], host: str = HOST
) -> routes.Route:
    return routes.Route(
        name,
        host,
        prefix,
        tuple(
            routes.WeightedService(service, weight)
            for service, weight in shares
        ),
        call_importance.Importance.NORMAL,
        idempotent=True,
        timeout_ms=1000,
        objective_ms=500,
        max_attempts=2,
    )


# As long as a request head may be.
LONG_PATH_CHARS = 16 * 1024
TABLE = routes.RouteTable(
    7,  # version
    (
        make_route("root", "/", ("a", 1)),
        make_route("shop", "/shop/", ("b", 1)),
        make_route("deep", "/shop/eu/", ("c", 1)),
        make_route("other", "/shop/", ("d", 1), host="other.example"),
    ),
    (routes.ServiceProfile("a", "/health", 10),),
)


@pytest.mark.parametrize(
    ("host", "target", "name"),
    # `name` is that of the expected route in `TABLE`, None for no route.
    [
        (HOST, "/", "root"),
        (HOST, "/shop", "root"),
        (HOST, "/shop/", "shop"),
        (HOST, "/shop/x/y", "shop"),
        (HOST, "/shop/eu", "shop"),
        (HOST, "/shop/eu/x", "deep"),
        (HOST, "/shop/eux/", "shop"),
        (HOST, "/x?y=/shop/eu/", "root"),
        (HOST, "/shop/eu/?a", "deep"),
        (HOST, "/%73hop/", "root"),
        (HOST, "//shop/", "root"),
        (HOST.upper(), "/shop/", "shop"),
        (f"{HOST}:8080", "/shop/", "shop"),
        ("other.example", "/shop/x", "other"),
        ("other.example", "/x", None),
        ("", "/", None),
        (HOST, "*", None),
    ],
)
def test_longest_matching_prefix_of_the_host_is_found(
    host: str, target: str, name: str | None
) -> None:
    compiled = routes.RouteIndex(TABLE).find(host, target)
    assert (compiled.route.name if compiled else None) == name


@pytest.mark.parametrize(
    ("weights", "count", "expected"),
    [
        # `count` is the number of requests and `expected` their number at each
        # service.
        pytest.param((1.0, 1.0), 10, (5, 5), id="equal weights"),
        pytest.param((70.0, 30.0), 100, (70, 30), id="unequal weights"),
        pytest.param((0.0, 5.0), 10, (0, 10), id="one weight zero"),
        pytest.param((1.0, 1.0, 2.0), 8, (2, 2, 4), id="three services"),
    ],
)
def test_requests_are_split_by_weight(
    weights: tuple[float, ...], count: int, expected: tuple[int, ...]
) -> None:
    services = [f"s{number}" for number in range(len(weights))]
    route = make_route("split", "/", *zip(services, weights, strict=True))
    index = routes.RouteIndex(routes.RouteTable(1, (route,), ()))
    compiled = index.find(HOST, "/")
    assert compiled is not None
    chooser = splits.SplitChooser()
    counts = collections.Counter(
        chooser.choose(compiled).policy.service for _ in range(count)
    )
    assert tuple(counts[service] for service in services) == expected


@pytest.mark.parametrize(
    ("versions", "in_force"),
    [
        pytest.param((3, 9), 9, id="newer version arrives"),
        pytest.param((9, 3), 9, id="older version arrives late"),
        pytest.param((9, 9), 9, id="version repeated"),
    ],
)
def test_version_in_force_never_decreases(
    versions: tuple[int, ...], in_force: int
) -> None:
    store = route_store.RouteStore()
    notified_versions: list[int] = []
    store.subscribe(lambda index: notified_versions.append(index.table.version))
    for version in versions:
        store.apply(dataclasses.replace(TABLE, version=version), "test")
    assert store.version == in_force
    assert notified_versions == sorted(set(notified_versions))


def test_peer_receives_the_table_by_gossip() -> None:
    source, receiver = route_store.RouteStore(), route_store.RouteStore()
    assert receiver.export(["routes"]) == ()
    source.apply(TABLE, "test")
    assert source.get_versions() == {"routes": 7}
    receiver.merge(source.export(["routes"]))
    assert receiver.index is not None
    assert receiver.index.table == TABLE


# Guards against a path of very many slashes, each of which starts a lookup of
# all before it.
@pytest.mark.parametrize(
    ("path", "name"),
    [
        pytest.param("/" * LONG_PATH_CHARS, "root", id="slashes only"),
        pytest.param("/shop/eu/" + "x/" * 8000, "deep", id="short segments"),
    ],
)
def test_path_of_many_segments_needs_few_lookups(path: str, name: str) -> None:
    prefixes: list[str] = []

    class Recorder(dict[str, routes.CompiledRoute]):
        """Records the prefixes that are looked up."""

        def get(self, key: str, default: object = None) -> object:  # type: ignore[override]
            prefixes.append(key)
            return super().get(key, default)

    index = routes.RouteIndex(TABLE)
    index._routes_by_host[HOST] = Recorder(index._routes_by_host[HOST])
    compiled = index.find(HOST, path)
    assert compiled is not None
    assert compiled.route.name == name
    assert len(prefixes) <= 3
