"""Authentication of control messages with a key that daemons share.

Each message carries a message authentication code (MAC), a keyed BLAKE2b hash
(RFC 7693). A request also carries its send time and a nonce, which prevents
replay; the MAC of an answer covers the nonce of its request. The key itself is
never sent. A sealed message is the message with its MAC and, for a request, its
header.
"""

from collections.abc import Iterator
import hashlib
import hmac
import secrets
import struct
import time

from kumquatridge.peers import errors

MAC_BYTES = 16
# Largest accepted difference of a request's send time from the local clock.
CLOCK_TOLERANCE_S = 60
# Send time of a request in milliseconds since the epoch, and its nonce.
_HEADER = struct.Struct(">QQ")
# An authentication tag is a sealed request without its body.
AUTH_TAG_BYTES = _HEADER.size + MAC_BYTES
# Purposes of MACs.
_REQUEST = b"request"
_ANSWER = b"answer"


class Credential:
    """The shared key of the deployment.

    Messages are signed with `key`. Messages signed with one of `previous_keys`
    are accepted too, so that keys can be rotated.
    """

    def __init__(self, key: str, previous_keys: tuple[str, ...] = ()) -> None:
        self._keys = tuple(
            hashlib.blake2b(secret.encode()).digest()
            for secret in (key, *previous_keys)
        )

    def sign(self, purpose: bytes, data: bytes) -> bytes:
        """Returns the MAC of data.

        `purpose` separates the MACs of different kinds of messages.
        """
        return _sign(self._keys[0], purpose, data)

    def is_authentic(self, purpose: bytes, data: bytes, mac: bytes) -> bool:
        """Returns whether a MAC was made with one of the accepted keys."""
        return any(
            hmac.compare_digest(_sign(key, purpose, data), mac)
            for key in self._keys
        )

    def seal_request(self, body: bytes) -> tuple[bytes, int]:
        """Returns the sealed request, and the nonce that its answer needs."""
        nonce = secrets.randbits(64)
        data = _HEADER.pack(time.time_ns() // 1_000_000, nonce) + body
        return data + self.sign(_REQUEST, data), nonce

    def open_answer(self, sealed: bytes, nonce: int) -> bytes:
        """Returns the body of an answer to the request with the given nonce.

        Raises:
          CredentialError: the MAC was not made with an accepted key over this
            nonce and this body.
        """
        data, mac = sealed[:-MAC_BYTES], sealed[-MAC_BYTES:]
        signed_data = nonce.to_bytes(8, "big") + data
        if not self.is_authentic(_ANSWER, signed_data, mac):
            raise errors.CredentialError("wrong key")
        return data

    def seal_answer(self, body: bytes, nonce: int) -> bytes:
        """Returns the sealed answer to the request with the given nonce."""
        return body + self.sign(_ANSWER, nonce.to_bytes(8, "big") + body)


def detach_body(sealed: bytes, body: bytes) -> bytes:
    """Returns the authentication tag of a sealed request: its header and MAC.

    `body` is the body of the request, which is sent apart from the tag.
    """
    return sealed[: _HEADER.size] + sealed[_HEADER.size + len(body) :]


def attach_body(auth_tag: bytes, body: bytes) -> bytes:
    """Returns the sealed request with this authentication tag and body.

    Raises:
      CredentialError: `auth_tag` is not as long as a header and a MAC.
    """
    if len(auth_tag) != AUTH_TAG_BYTES:
        raise errors.CredentialError("no credential")
    return auth_tag[: _HEADER.size] + body + auth_tag[_HEADER.size :]


def _sign(key: bytes, purpose: bytes, data: bytes) -> bytes:
    return hashlib.blake2b(
        data, digest_size=MAC_BYTES, key=key, person=purpose
    ).digest()


class RequestVerifier:
    """Verifies requests and rejects replayed ones.

    A request is accepted once, and only while its send time differs from the
    local clock by at most `CLOCK_TOLERANCE_S`.
    """

    def __init__(self, credential: Credential) -> None:
        self._credential = credential
        # Nonces of accepted requests, with the Unix time of their receipt.
        self._received_nonces: dict[int, float] = {}

    def open_request(self, sealed: bytes) -> tuple[bytes, int]:
        """Returns the body and the nonce of a request.

        Raises:
          CredentialError: the MAC was not made with an accepted key over this
            message, the send time is out of tolerance, or the nonce was
            received before.
        """
        data, mac = sealed[:-MAC_BYTES], sealed[-MAC_BYTES:]
        if len(data) < _HEADER.size:
            raise errors.CredentialError("no credential")
        if not self._credential.is_authentic(_REQUEST, data, mac):
            raise errors.CredentialError("wrong key")
        sent_ms, nonce = _HEADER.unpack_from(data)
        self._check_send_time(sent_ms / 1000.0)
        if nonce in self._received_nonces:
            raise errors.CredentialError("sent before")
        self._received_nonces[nonce] = time.time()
        return data[_HEADER.size :], nonce

    def _check_send_time(self, sent_s: float) -> None:
        """Checks the send time, and discards the nonces that have expired."""
        now_s = time.time()
        if abs(now_s - sent_s) > CLOCK_TOLERANCE_S:
            raise errors.CredentialError("clocks differ")
        for nonce in tuple(self._find_expired(now_s)):
            del self._received_nonces[nonce]

    def _find_expired(self, now_s: float) -> Iterator[int]:
        """Yields the nonces of requests that are too old to be accepted again.

        A send time may be ahead of the local clock by the tolerance, so a
        request is acceptable for at most twice the tolerance after receipt.
        Nonces are stored in the order of receipt.
        """
        for nonce, received_at_s in self._received_nonces.items():
            if now_s - received_at_s <= 2 * CLOCK_TOLERANCE_S:
                return
            yield nonce
