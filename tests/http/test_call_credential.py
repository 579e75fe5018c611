"""Only calls that prove the key are taken, each once."""

import pytest

from kumquatridge.http import call_credential
from kumquatridge.http import headers

KEY = call_credential.CallCredential("right")
MARKS = {headers.CHAIN: "chain", headers.CALLER: "caller \udcff"}


@pytest.mark.parametrize(
    ("changed", "method", "fault"),
    [
        pytest.param({}, "POST", None, id="right"),
        pytest.param({}, "GET", "wrong key", id="other method"),
        pytest.param({headers.CHAIN: "x"}, "POST", "wrong key", id="chain"),
        pytest.param({headers.HOME: "1"}, "POST", "wrong key", id="home"),
        pytest.param(
            {headers.REQUEST_KEY: "k"}, "POST", "wrong key", id="request key"
        ),
        pytest.param(
            {headers.PEER_PROOF: ""}, "POST", "no credential", id="missing"
        ),
        pytest.param(
            {headers.PEER_PROOF: "not hex"}, "POST", "no credential", id="text"
        ),
    ],
)
def test_find_fault(
    changed: dict[str, str], method: str, fault: str | None
) -> None:
    proof = KEY.make_mark("POST", MARKS)
    shown = {**MARKS, headers.PEER_PROOF: proof, **changed}
    assert KEY.find_fault(method, shown) == fault


def test_a_proof_serves_once_and_for_its_key_only() -> None:
    shown = {**MARKS, headers.PEER_PROOF: KEY.make_mark("POST", MARKS)}
    other = call_credential.CallCredential("other")
    assert other.find_fault("POST", shown) == "wrong key"
    assert KEY.find_fault("POST", shown) is None
    assert KEY.find_fault("POST", shown) == "sent before"
