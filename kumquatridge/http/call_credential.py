"""Proof that a call between daemons comes from one that holds the key.

The keyed hash covers the method, the target and the marks by which the
receiver decides; it does not cover the body, which is streamed.
"""

from collections.abc import Mapping

from kumquatridge.http import headers
from kumquatridge.peers import credential as peer_credential
from kumquatridge.peers import errors

_COVERED = (
    headers.CHAIN,
    headers.CALLER,
    headers.HOME,
    headers.KEY_AGE,
    headers.REQUEST_KEY,
)


class CallCredential:
    """Makes and checks the header that proves the key."""

    def __init__(self, key: str, previous_keys: tuple[str, ...] = ()) -> None:
        self._credential = peer_credential.Credential(key, previous_keys)
        self._gate = peer_credential.RequestGate(self._credential)

    def make_mark(
        self, method: str, target: str, marks: Mapping[str, str]
    ) -> str:
        """Returns the value of the header for one request."""
        body = _join(method, target, marks)
        sealed, _ = self._credential.seal_request(body)
        return peer_credential.detach(sealed, body).hex()

    def find_fault(
        self, method: str, target: str, marks: Mapping[str, str]
    ) -> str | None:
        """Returns why a request is not taken, or None when it is."""
        try:
            proof = bytes.fromhex(marks.get(headers.PEER_PROOF, ""))
            body = _join(method, target, marks)
            self._gate.open(peer_credential.attach(proof, body))
        except ValueError:
            return "no credential"
        except errors.CredentialError as error:
            return str(error)
        return None


def _join(method: str, target: str, marks: Mapping[str, str]) -> bytes:
    parts = [method, target, *(marks.get(name, "") for name in _COVERED)]
    return "\0".join(parts).encode(errors="surrogateescape")
