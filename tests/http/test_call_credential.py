"""Only calls that prove the key are taken, each once."""

import pytest

from kumquatridge.http import call_credential
from kumquatridge.http import headers

KEY = call_credential.CallCredential("right")
TARGET = "/stock/items"
MARKS = {headers.CHAIN: "chain", headers.CALLER: "caller \udcff"}


@pytest.mark.parametrize(
    ("changed", "method", "target", "fault"),
    [
        pytest.param({}, "POST", TARGET, None, id="right"),
        pytest.param({}, "GET", TARGET, "wrong key", id="other method"),
        pytest.param({}, "POST", "/stock/x", "wrong key", id="other target"),
        pytest.param(
            {headers.CHAIN: "x"}, "POST", TARGET, "wrong key", id="chain"
        ),
        pytest.param(
            {headers.HOME: "1"}, "POST", TARGET, "wrong key", id="home"
        ),
        pytest.param(
            {headers.REQUEST_KEY: "k"},
            "POST",
            TARGET,
            "wrong key",
            id="request key",
        ),
        pytest.param(
            {headers.PEER_PROOF: ""},
            "POST",
            TARGET,
            "no credential",
            id="missing",
        ),
        pytest.param(
            {headers.PEER_PROOF: "00" * 39},
            "POST",
            TARGET,
            "no credential",
            id="short",
        ),
        pytest.param(
            {headers.PEER_PROOF: "not hex"},
            "POST",
            TARGET,
            "no credential",
            id="text",
        ),
    ],
)
def test_find_fault(
    changed: dict[str, str], method: str, target: str, fault: str | None
) -> None:
    proof = KEY.make_mark("POST", TARGET, MARKS)
    shown = {**MARKS, headers.PEER_PROOF: proof, **changed}
    assert KEY.find_fault(method, target, shown) == fault


def test_a_proof_serves_once_and_for_its_key_only() -> None:
    shown = {**MARKS, headers.PEER_PROOF: KEY.make_mark("POST", TARGET, MARKS)}
    other = call_credential.CallCredential("other")
    assert other.find_fault("POST", TARGET, shown) == "wrong key"
    assert KEY.find_fault("POST", TARGET, shown) is None
    assert KEY.find_fault("POST", TARGET, shown) == "sent before"
