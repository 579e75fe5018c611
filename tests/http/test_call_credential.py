"""Authentication of calls between daemons, and rejection of replays."""

import pytest

from kumquatridge.http import call_credential
from kumquatridge.http import headers

CREDENTIAL = call_credential.CallCredential("right")
TARGET = "/stock/items"
# The caller's name ends with a byte that is not UTF-8.
HEADERS = {headers.CHAIN: "chain", headers.CALLER: "caller \udcff"}


@pytest.mark.parametrize(
    ("changed", "method", "target", "reason"),
    [
        pytest.param({}, "POST", TARGET, None, id="unchanged"),
        pytest.param({}, "GET", TARGET, "wrong key", id="other method"),
        pytest.param({}, "POST", "/stock/x", "wrong key", id="other target"),
        pytest.param(
            {headers.CHAIN: "x"}, "POST", TARGET, "wrong key", id="other chain"
        ),
        pytest.param(
            {headers.HOME: "1"},
            "POST",
            TARGET,
            "wrong key",
            id="added home header",
        ),
        pytest.param(
            {headers.IDEMPOTENCY_KEY: "k"},
            "POST",
            TARGET,
            "wrong key",
            id="added idempotency key",
        ),
        pytest.param(
            {headers.PEER_PROOF: ""},
            "POST",
            TARGET,
            "no credential",
            id="empty auth tag",
        ),
        pytest.param(
            # 39 bytes; `peers.credential.AUTH_TAG_BYTES` is 32.
            {headers.PEER_PROOF: "00" * 39},
            "POST",
            TARGET,
            "no credential",
            id="auth tag of wrong length",
        ),
        pytest.param(
            {headers.PEER_PROOF: "not hex"},
            "POST",
            TARGET,
            "no credential",
            id="auth tag not hexadecimal",
        ),
    ],
)
def test_changed_request_is_rejected_with_reason(
    changed: dict[str, str], method: str, target: str, reason: str | None
) -> None:
    auth_tag = CREDENTIAL.make_auth_tag("POST", TARGET, HEADERS)
    received = {**HEADERS, headers.PEER_PROOF: auth_tag, **changed}
    assert CREDENTIAL.find_rejection_reason(method, target, received) == reason


def test_auth_tag_is_valid_once_and_for_its_key_only() -> None:
    received = {
        **HEADERS,
        headers.PEER_PROOF: CREDENTIAL.make_auth_tag("POST", TARGET, HEADERS),
    }
    other_credential = call_credential.CallCredential("other")
    assert (
        other_credential.find_rejection_reason("POST", TARGET, received)
        == "wrong key"
    )
    assert CREDENTIAL.find_rejection_reason("POST", TARGET, received) is None
    assert (
        CREDENTIAL.find_rejection_reason("POST", TARGET, received)
        == "sent before"
    )
