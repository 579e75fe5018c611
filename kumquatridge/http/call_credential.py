"""Authentication of calls between daemons by a shared key.

The keyed hash covers the method, the target and the headers on which the
receiver's decisions depend. It doesn't cover the body, which is streamed.
"""

from collections.abc import Mapping

from kumquatridge.http import headers
from kumquatridge.peers import credential as peer_credential
from kumquatridge.peers import errors

_COVERED_HEADERS = (
    headers.CHAIN,
    headers.CALLER,
    headers.HOME,
    headers.KEY_AGE,
    headers.IDEMPOTENCY_KEY,
)


class CallCredential:
    """Creates and verifies the header that authenticates a call.

    Headers made with one of `previous_keys` are accepted too, so that keys can
    be rotated.
    """

    def __init__(self, key: str, previous_keys: tuple[str, ...] = ()) -> None:
        self._credential = peer_credential.Credential(key, previous_keys)
        self._request_verifier = peer_credential.RequestVerifier(
            self._credential
        )

    def make_auth_tag(
        self, method: str, target: str, header_fields: Mapping[str, str]
    ) -> str:
        """Returns a `headers.PEER_PROOF` value, valid for one request."""
        body = _join_covered(method, target, header_fields)
        sealed, _ = self._credential.seal_request(body)
        return peer_credential.detach_body(sealed, body).hex()

    def find_rejection_reason(
        self, method: str, target: str, header_fields: Mapping[str, str]
    ) -> str | None:
        """Returns why a request is rejected, or None if it is authentic."""
        try:
            auth_tag = bytes.fromhex(header_fields.get(headers.PEER_PROOF, ""))
            body = _join_covered(method, target, header_fields)
            self._request_verifier.open_request(
                peer_credential.attach_body(auth_tag, body)
            )
        except ValueError:
            return "no credential"
        except errors.CredentialError as error:
            return str(error)
        return None


def _join_covered(
    method: str, target: str, header_fields: Mapping[str, str]
) -> bytes:
    parts = [
        method,
        target,
        *(header_fields.get(name, "") for name in _COVERED_HEADERS),
    ]
    return "\0".join(parts).encode(errors="surrogateescape")
