"""Reasons for which a call was not run.

Every class here is proof that no byte of the call reached a worker. `code`
names the reason in headers, counters and logs.
"""

import dataclasses
from typing import ClassVar


@dataclasses.dataclass(frozen=True, slots=True)
class Overloaded:
    """The instance admits only more important calls for now."""

    code: ClassVar[str] = "overloaded"
    level: int
    limit: int
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueueTimeout:
    """The call waited in the queue for as long as the queue allows."""

    code: ClassVar[str] = "queue_timeout"
    waited_ms: int
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineExceeded:
    """The deadline passed, or can't be met, before the call was sent."""

    code: ClassVar[str] = "deadline_exceeded"
    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Draining:
    """The instance is leaving and takes no new calls."""

    code: ClassVar[str] = "draining"
    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoInstance:
    """No instance of the service is known that may take the call."""

    code: ClassVar[str] = "no_instance"
    service: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownService:
    """The settings tree has no such service."""

    code: ClassVar[str] = "unknown_service"
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """No connection to the instance could be opened."""

    code: ClassVar[str] = "unreachable"
    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """Calls with this fingerprint crashed workers before."""

    code: ClassVar[str] = "quarantined"
    fingerprint: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class BodyTooLarge:
    """The announced body is larger than the settings allow."""

    code: ClassVar[str] = "body_too_large"
    length_bytes: int
    limit_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class RetriesExhausted:
    """Another attempt would exceed the retry allowance of the whole chain."""

    code: ClassVar[str] = "retries_exhausted"
    last_reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ParentEnded:
    """The inbound call that this call was to serve has ended."""

    code: ClassVar[str] = "parent_ended"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyReused:
    """The request key was used before with another request."""

    code: ClassVar[str] = "key_reused"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyMemoryFull:
    """The home of the request key can't remember another key for now."""

    code: ClassVar[str] = "key_memory_full"
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotHome:
    """This daemon must not run the key; another may have run it before.

    It is said between daemons only; callers are told that it is unknown
    whether the call ran. `home` is the instance to ask, if any is known.
    """

    code: ClassVar[str] = "not_home"
    home: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidRequest:
    """The request can't be understood; `detail` says what to mend."""

    code: ClassVar[str] = "invalid_request"
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class WrongCredential:
    """The sender did not prove to be a daemon of this deployment."""

    code: ClassVar[str] = "wrong_credential"
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotReady:
    """The daemon has just started and doesn't know the routes yet."""

    code: ClassVar[str] = "not_ready"
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoute:
    """No route leads from the host and path to a service."""

    code: ClassVar[str] = "no_route"
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerRefused:
    """The worker itself said that it didn't run the call.

    Unlike the other refusals, this one came after the call was sent.
    """

    code: ClassVar[str] = "worker_refused"
    status: int
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class GateClosed:
    """A service that the root's calls lead to admits only others for now.

    Roots with a `score` below the `level` are turned away; the level was told
    `age_ms` ago.
    """

    code: ClassVar[str] = "gate_closed"
    service: str
    level: float
    score: float
    age_ms: int
    retry_after_ms: int


Refusal = (
    Overloaded
    | QueueTimeout
    | DeadlineExceeded
    | Draining
    | NoInstance
    | UnknownService
    | Unreachable
    | Quarantined
    | BodyTooLarge
    | RetriesExhausted
    | ParentEnded
    | KeyReused
    | KeyMemoryFull
    | NotHome
    | InvalidRequest
    | WrongCredential
    | NotReady
    | NoRoute
    | WorkerRefused
    | GateClosed
)


def get_retry_after_ms(refusal: Refusal) -> int | None:
    """Returns when another attempt may succeed, or None when unknown."""
    match refusal:
        case (
            Overloaded(retry_after_ms=wait_ms)
            | QueueTimeout(retry_after_ms=wait_ms)
            | NoInstance(retry_after_ms=wait_ms)
            | Quarantined(retry_after_ms=wait_ms)
            | KeyMemoryFull(retry_after_ms=wait_ms)
            | NotReady(retry_after_ms=wait_ms)
            | WorkerRefused(retry_after_ms=wait_ms)
            | GateClosed(retry_after_ms=wait_ms)
        ):
            return wait_ms
        case _:
            return None
