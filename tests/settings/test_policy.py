"""Matching of requests to the routes of a service."""

import pytest

from kumquatridge.encoding import settings_text

TREE = """{
  "settings": {"importance": "normal", "idempotent": false,
    "deadline_ms": 1000, "retry_allowance": 0, "long_running": false,
    "max_body_bytes": 1000, "queue_wait_ms": 100},
  "children": {"rounds": {"children": {"planning": {"children": {
    "any-booking": {"settings": {"path_prefix": "/bookings"}},
    "read": {"settings": {"path_prefix": "/bookings", "methods": ["GET"]}},
    "old": {"settings": {"path_prefix": "/bookings/old"}},
    "file": {"settings": {"path_prefix": "/files/"}}
  }}}}}
}"""


# The route "" is the fallback of the service, for requests without a route.
@pytest.mark.parametrize(
    ("method", "path", "route"),
    [
        pytest.param(
            "POST", "/bookings", "any-booking", id="path equals the prefix"
        ),
        pytest.param(
            "POST", "/bookings/7", "any-booking", id="path below the prefix"
        ),
        pytest.param(
            "POST",
            "/bookings?day=2",
            "any-booking",
            id="prefix followed by a query",
        ),
        pytest.param(
            "POST",
            "/bookings-open",
            "",
            id="segment only starts with the prefix",
        ),
        pytest.param(
            "GET",
            "/bookings/7",
            "read",
            id="route for one method before route for all",
        ),
        pytest.param("GET", "/bookings/old/7", "old", id="longest prefix"),
        pytest.param("GET", "/files/7", "file", id="prefix ends with a slash"),
        pytest.param(
            "GET", "/files", "", id="prefix slash missing in the path"
        ),
    ],
)
def test_request_matches_the_most_specific_route(
    method: str, path: str, route: str
) -> None:
    policies = settings_text.decode_tree("tree", TREE).compile()
    route_policy = policies.find("planning", method, path)
    assert route_policy is not None
    assert route_policy.route == route
