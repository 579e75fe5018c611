"""Only messages made with the key, lately and once, are taken."""

from collections.abc import Callable
import time

import pytest

from kumquatridge.peers import credential
from kumquatridge.peers import errors

KEY = credential.Credential("right")


def seal(key: credential.Credential = KEY) -> bytes:
    return key.seal_request(b"body")[0]


@pytest.mark.parametrize(
    ("make", "reason"),
    [
        pytest.param(lambda: b"", "no credential", id="nothing"),
        pytest.param(lambda: b"x" * 100, "wrong key", id="noise"),
        pytest.param(
            lambda: seal(credential.Credential("wrong")), "wrong key", id="key"
        ),
        pytest.param(
            lambda: seal()[:-1] + b"\0\0", "wrong key", id="changed length"
        ),
        pytest.param(
            lambda: seal()[:20] + b"B" + seal()[21:], "wrong key", id="mixed"
        ),
    ],
)
def test_gate_refuses(make: Callable[[], bytes], reason: str) -> None:
    gate = credential.RequestGate(KEY)
    with pytest.raises(errors.CredentialError, match=reason):
        gate.open(make())


def test_gate_takes_a_request_once() -> None:
    gate = credential.RequestGate(KEY)
    sealed = seal()
    assert gate.open(sealed)[0] == b"body"
    with pytest.raises(errors.CredentialError, match="sent before"):
        gate.open(sealed)


@pytest.mark.parametrize("shift_s", [-3600, 3600])
def test_gate_refuses_other_times(
    shift_s: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    gate = credential.RequestGate(KEY)
    sealed = seal()
    now_s = time.time()
    monkeypatch.setattr(time, "time", lambda: now_s + shift_s)
    with pytest.raises(errors.CredentialError, match="clocks differ"):
        gate.open(sealed)


def test_previous_key_is_still_accepted() -> None:
    renewed = credential.Credential("next", ("right",))
    assert credential.RequestGate(renewed).open(seal())[0] == b"body"


def test_answer_belongs_to_its_request() -> None:
    sealed = KEY.seal_answer(b"answer", 1)
    assert KEY.open_answer(sealed, 1) == b"answer"
    with pytest.raises(errors.CredentialError):
        KEY.open_answer(sealed, 2)
