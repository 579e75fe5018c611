"""Idempotency keys, bare or issued.

A bare key is made by the caller, an issued key by a daemon. An issued key names
its home, the only daemon process that may run a call with this key, and the
time of issue on the monotonic clock of that process. A message authentication
code (MAC) protects both from being changed.
"""

import dataclasses
import hashlib
import hmac
import secrets

import xxhash

from kumquatridge import clock
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls

ISSUED_PREFIX = "kq1"
NONCE_BYTES = 8
# Hexadecimal digits to which the MAC is shortened.
MAC_DIGITS = 32
# The header with the caller's credentials.
AUTHORIZATION = "authorization"


@dataclasses.dataclass(frozen=True, slots=True)
class HomeId:
    """One daemon process; `boot` differs for every process of an instance."""

    instance: str
    boot: str


@dataclasses.dataclass(frozen=True, slots=True)
class BareKey:
    """A key made by the caller; it does not name a home."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedKey:
    """A key that names its home.

    `issued_ms` is on the home's monotonic clock, without meaning elsewhere.
    """

    home: HomeId
    issued_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForgedKey:
    """A text in the format of an issued key with an invalid MAC."""


Key = BareKey | IssuedKey | ForgedKey


class KeyIssuer:
    """Issues keys of one home, and parses keys of all homes.

    All daemons share `secret`, with which the MACs are made.
    """

    def __init__(self, home: HomeId, secret: str) -> None:
        self._home = home
        self._secret = secret.encode()

    def issue(self) -> str:
        """Returns a new key whose home is this daemon process."""
        text = ".".join(
            (
                ISSUED_PREFIX,
                self._home.instance.encode().hex(),
                self._home.boot,
                str(int(clock.get_now_ms())),
                secrets.token_hex(NONCE_BYTES),
            )
        )
        return f"{text}.{self._make_mac(text)}"

    def parse(self, text: str) -> Key:
        """Parses a key and verifies its message authentication code."""
        if not text.startswith(f"{ISSUED_PREFIX}."):
            return BareKey(text)
        signed, _, mac = text.rpartition(".")
        if not hmac.compare_digest(
            mac.encode(), self._make_mac(signed).encode()
        ):
            return ForgedKey()
        _, instance, boot, issued_ms, _ = signed.split(".")
        return IssuedKey(
            HomeId(bytes.fromhex(instance).decode(), boot), int(issued_ms)
        )

    def _make_mac(self, text: str) -> str:
        mac = hmac.new(self._secret, text.encode(), hashlib.sha256)
        return mac.hexdigest()[:MAC_DIGITS]


def make_key_digest(call: calls.Call) -> str:
    """Returns the digest under which the key of a call is stored.

    It covers the text of the key, the service and route, and the name and
    credentials of the caller, so that equal keys of different callers never
    collide.
    """
    digest = hashlib.blake2b(digest_size=16)
    for part in (
        call.idempotency_key or "",
        call.service,
        call.policy.route,
        call.caller,
        *_get_credentials(call),
    ):
        digest.update(part.encode())
        digest.update(b"\0")
    return digest.hexdigest()


def make_request_digest(call: calls.Call) -> str:
    """Returns a digest of method, path and body, equal for every resend.

    Of a streamed body only the length is covered, since the body can be read
    only once.
    """
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{call.method}\0{call.path}\0".encode())
    match call.body:
        case call_body.BufferedBody(data):
            digest.update(data)
        case call_body.StreamedBody(length_bytes, _):
            digest.update(str(length_bytes).encode())
    return digest.hexdigest()


def get_rendezvous_weight(instance: str, key_digest: str) -> int:
    """Returns the rendezvous weight of an instance for a key digest.

    Of several instances, the one with the highest weight is the home.

    Source: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase
    Hit Rates", 1998.
    """
    return xxhash.xxh3_64_intdigest(f"{instance}\0{key_digest}".encode())


def _get_credentials(call: calls.Call) -> tuple[str, ...]:
    return tuple(
        value for name, value in call.headers if name.lower() == AUTHORIZATION
    )
