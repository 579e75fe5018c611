"""Request keys: bare ones of the caller's making, and issued ones.

An issued key names its home, the one daemon process that may run it, and the
time of its issue on that process's own clock. A message authentication code
keeps both from being changed.
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
CODE_DIGITS = 32
AUTHORIZATION = "authorization"


@dataclasses.dataclass(frozen=True, slots=True)
class HomeId:
    """One daemon process; `boot` is new at every start."""

    instance: str
    boot: str


@dataclasses.dataclass(frozen=True, slots=True)
class BareKey:
    """A key that the caller made; it says nothing about its home."""

    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class IssuedKey:
    """A key that names its home; `issued_ms` is on the home's clock."""

    home: HomeId
    issued_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class ForgedKey:
    """A text in the form of an issued key that no daemon here issued."""


Key = BareKey | IssuedKey | ForgedKey


class KeyIssuer:
    """Issues keys of one home and reads the keys of all."""

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
        return f"{text}.{self._make_code(text)}"

    def read(self, text: str) -> Key:
        """Returns what kind of key a text is."""
        if not text.startswith(f"{ISSUED_PREFIX}."):
            return BareKey(text)
        signed, _, code = text.rpartition(".")
        if not hmac.compare_digest(
            code.encode(), self._make_code(signed).encode()
        ):
            return ForgedKey()
        _, instance, boot, issued_ms, _ = signed.split(".")
        return IssuedKey(
            HomeId(bytes.fromhex(instance).decode(), boot), int(issued_ms)
        )

    def _make_code(self, text: str) -> str:
        code = hmac.new(self._secret, text.encode(), hashlib.sha256)
        return code.hexdigest()[:CODE_DIGITS]


def make_scope(call: calls.Call) -> str:
    """Returns the digest under which a call's key is remembered.

    It covers the key's text, service and route, the caller's name and its
    credential, so that equal texts of different callers never meet.
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
    """Returns a digest of what is asked, the same on every resend."""
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f"{call.method}\0{call.path}\0".encode())
    match call.body:
        case call_body.BufferedBody(data):
            digest.update(data)
        case call_body.StreamedBody(length_bytes, _):
            digest.update(str(length_bytes).encode())
    return digest.hexdigest()


def rank(instance: str, scope: str) -> int:
    """Returns an instance's weight for a scope; the highest is the home.

    Source: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to
    Increase Hit Rates", 1998.
    """
    return xxhash.xxh3_64_intdigest(f"{instance}\0{scope}".encode())


def _get_credentials(call: calls.Call) -> tuple[str, ...]:
    return tuple(
        value for name, value in call.headers if name.lower() == AUTHORIZATION
    )
