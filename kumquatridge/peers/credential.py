"""Proof that a control message comes from a daemon that holds the key.

Each message carries a keyed hash (BLAKE2b, RFC 7693). A request also carries
its time and a nonce, so that it can't be sent again later; the hash of an
answer covers the nonce of its request. The key itself is never sent.
"""

from collections.abc import Iterator
import hashlib
import hmac
import secrets
import struct
import time

from kumquatridge.peers import errors

MAC_BYTES = 16
CLOCK_TOLERANCE_S = 60
_HEADER = struct.Struct(">QQ")
PROOF_BYTES = _HEADER.size + MAC_BYTES
_REQUEST = b"request"
_ANSWER = b"answer"


class Credential:
    """The key of the deployment, and those still accepted beside it."""

    def __init__(self, key: str, previous_keys: tuple[str, ...] = ()) -> None:
        self._keys = tuple(
            hashlib.blake2b(one.encode()).digest()
            for one in (key, *previous_keys)
        )

    def sign(self, purpose: bytes, data: bytes) -> bytes:
        """Returns the keyed hash of some data for one purpose."""
        return _sign(self._keys[0], purpose, data)

    def verifies(self, purpose: bytes, data: bytes, mac: bytes) -> bool:
        """Tells whether a hash was made with one of the keys."""
        return any(
            hmac.compare_digest(_sign(key, purpose, data), mac)
            for key in self._keys
        )

    def seal_request(self, body: bytes) -> tuple[bytes, int]:
        """Returns a sealed request and its nonce."""
        nonce = secrets.randbits(64)
        data = _HEADER.pack(time.time_ns() // 1_000_000, nonce) + body
        return data + self.sign(_REQUEST, data), nonce

    def open_answer(self, sealed: bytes, nonce: int) -> bytes:
        """Returns the body of the answer to the request with that nonce.

        Raises:
          CredentialError: the answer does not prove the key.
        """
        data, mac = sealed[:-MAC_BYTES], sealed[-MAC_BYTES:]
        bound = nonce.to_bytes(8, "big") + data
        if not self.verifies(_ANSWER, bound, mac):
            raise errors.CredentialError("wrong key")
        return data

    def seal_answer(self, body: bytes, nonce: int) -> bytes:
        """Returns a sealed answer to the request with that nonce."""
        return body + self.sign(_ANSWER, nonce.to_bytes(8, "big") + body)


def detach(sealed: bytes, body: bytes) -> bytes:
    """Returns a sealed request without its body, for a body sent elsewhere."""
    return sealed[: _HEADER.size] + sealed[_HEADER.size + len(body) :]


def attach(proof: bytes, body: bytes) -> bytes:
    """Returns the sealed request that `detach` took the body from.

    Raises:
      CredentialError: that is no proof.
    """
    if len(proof) != PROOF_BYTES:
        raise errors.CredentialError("no credential")
    return proof[: _HEADER.size] + body + proof[_HEADER.size :]


def _sign(key: bytes, purpose: bytes, data: bytes) -> bytes:
    return hashlib.blake2b(
        data, digest_size=MAC_BYTES, key=key, person=purpose
    ).digest()


class RequestGate:
    """Opens requests, each once, and only those sent lately."""

    def __init__(self, credential: Credential) -> None:
        self._credential = credential
        self._seen: dict[int, float] = {}

    def open(self, sealed: bytes) -> tuple[bytes, int]:
        """Returns the body and the nonce of a request.

        Raises:
          CredentialError: the request does not prove the key, is too old or
            was seen before.
        """
        data, mac = sealed[:-MAC_BYTES], sealed[-MAC_BYTES:]
        if len(data) < _HEADER.size:
            raise errors.CredentialError("no credential")
        if not self._credential.verifies(_REQUEST, data, mac):
            raise errors.CredentialError("wrong key")
        sent_ms, nonce = _HEADER.unpack_from(data)
        self._check_time(sent_ms / 1000.0)
        if nonce in self._seen:
            raise errors.CredentialError("sent before")
        self._seen[nonce] = time.time()
        return data[_HEADER.size :], nonce

    def _check_time(self, sent_s: float) -> None:
        now_s = time.time()
        if abs(now_s - sent_s) > CLOCK_TOLERANCE_S:
            raise errors.CredentialError("clocks differ")
        for nonce in tuple(self._find_old(now_s)):
            del self._seen[nonce]

    def _find_old(self, now_s: float) -> Iterator[int]:
        for nonce, at_s in self._seen.items():
            if now_s - at_s <= 2 * CLOCK_TOLERANCE_S:
                return
            yield nonce
