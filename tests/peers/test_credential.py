"""Tests of authentication and replay protection of control messages."""

from collections.abc import Callable
import time

import pytest

from kumquatridge.peers import credential
from kumquatridge.peers import errors

CREDENTIAL = credential.Credential("right")


def seal(key: credential.Credential = CREDENTIAL) -> bytes:
    """Returns a sealed request: 16 bytes of header, "body" and the MAC."""
    return key.seal_request(b"body")[0]


@pytest.mark.parametrize(
    ("make_request", "reason"),
    [
        pytest.param(lambda: b"", "no credential", id="empty"),
        pytest.param(lambda: b"x" * 100, "wrong key", id="arbitrary bytes"),
        pytest.param(
            lambda: seal(credential.Credential("wrong")),
            "wrong key",
            id="signed with another key",
        ),
        pytest.param(
            lambda: seal()[:-1] + b"\0\0",
            "wrong key",
            id="changed length",
        ),
        pytest.param(
            lambda: seal()[:20] + b"B" + seal()[21:],
            "wrong key",
            id="changed body",
        ),
    ],
)
def test_unauthenticated_request_is_refused(
    make_request: Callable[[], bytes], reason: str
) -> None:
    verifier = credential.RequestVerifier(CREDENTIAL)
    with pytest.raises(errors.CredentialError, match=reason):
        verifier.open_request(make_request())


def test_replayed_request_is_refused() -> None:
    verifier = credential.RequestVerifier(CREDENTIAL)
    sealed = seal()
    assert verifier.open_request(sealed)[0] == b"body"
    with pytest.raises(errors.CredentialError, match="sent before"):
        verifier.open_request(sealed)


# Well outside the tolerance of a minute, on both sides.
@pytest.mark.parametrize("shift_s", [-3600, 3600])
def test_request_outside_clock_tolerance_is_refused(
    shift_s: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    verifier = credential.RequestVerifier(CREDENTIAL)
    sealed = seal()
    now_s = time.time()
    monkeypatch.setattr(time, "time", lambda: now_s + shift_s)
    with pytest.raises(errors.CredentialError, match="clocks differ"):
        verifier.open_request(sealed)


def test_request_with_previous_key_is_accepted() -> None:
    rotated = credential.Credential("next", ("right",))
    assert (
        credential.RequestVerifier(rotated).open_request(seal())[0] == b"body"
    )


def test_answer_with_nonce_of_another_request_is_refused() -> None:
    # The last arguments are nonces.
    sealed = CREDENTIAL.seal_answer(b"answer", 1)
    assert CREDENTIAL.open_answer(sealed, 1) == b"answer"
    with pytest.raises(errors.CredentialError):
        CREDENTIAL.open_answer(sealed, 2)
