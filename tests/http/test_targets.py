"""Normalization of request targets, and targets without a service."""

import pytest

from kumquatridge.http import errors
from kumquatridge.http import targets


@pytest.mark.parametrize(
    ("target", "path"),
    [
        pytest.param("/stock/items/7", "/items/7", id="already normal"),
        pytest.param("/stock/", "/", id="empty path"),
        pytest.param("/stock/a/../b", "/b", id="dot segments"),
        pytest.param("/stock/a/%2e%2E/b", "/b", id="encoded dot segments"),
        pytest.param(
            "/stock/%62ookings", "/bookings", id="unnecessary encoding"
        ),
        pytest.param("/stock/a%2fb", "/a%2Fb", id="encoded slash is kept"),
        pytest.param("/stock/a%zz", "/a%25zz", id="invalid encoding"),
        pytest.param("/stock/a?b=%20c+d", "/a?b=%20c+d", id="query"),
        pytest.param("/stock//a//b", "//a//b", id="empty segments"),
        pytest.param("/stock/a:1@b", "/a:1@b", id="like an authority"),
        pytest.param("/stock/%C3%A4", "/%C3%A4", id="not ASCII"),
    ],
)
def test_equivalent_targets_have_one_normal_form(
    target: str, path: str
) -> None:
    normal = targets.normalize(target)
    assert targets.split(normal) == targets.Target("stock", path)
    assert targets.normalize(normal) == normal


@pytest.mark.parametrize(
    ("target", "service"),
    [
        pytest.param("/stock/../orders/1", "orders", id="another service"),
        pytest.param("/../../orders/1", "orders", id="above the root"),
    ],
)
def test_dot_segments_are_resolved_before_service_is_read(
    target: str, service: str
) -> None:
    assert targets.split(targets.normalize(target)).service == service


@pytest.mark.parametrize(
    "target",
    [
        pytest.param("/", id="root"),
        pytest.param("/stock", id="no slash after the service"),
        pytest.param("/stock/..", id="dot segments leave nothing"),
        pytest.param("*", id="asterisk form"),
        pytest.param(":x/y", id="no path"),
    ],
)
def test_target_without_service_raises_malformed_request(target: str) -> None:
    with pytest.raises(errors.MalformedRequestError):
        targets.split(targets.normalize(target))
