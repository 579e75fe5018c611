"""Reasons why a call was not run.

Every class except `WorkerRefused` is proof that no byte of the call reached a
worker. `code` names the reason in headers, counters and logs, `retry_after_ms`
is how long to wait before the call is sent again.
"""

import dataclasses
from typing import ClassVar


@dataclasses.dataclass(frozen=True, slots=True)
class Overloaded:
    """The instance admits only calls of a higher rank.

    `level` is the lowest rank admitted (see `admission.levels`), `limit` the
    number of calls that may run at once.
    """

    code: ClassVar[str] = "overloaded"
    level: int
    limit: int
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueueTimeout:
    """The call waited in vain for the longest time that the queue allows."""

    code: ClassVar[str] = "queue_timeout"
    waited_ms: int
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class DeadlineExceeded:
    """The call was not sent, since its deadline has passed or can't be met.

    `remaining_ms` is the time left, 0 or less after the deadline.
    """

    code: ClassVar[str] = "deadline_exceeded"
    remaining_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Draining:
    """The instance is leaving and accepts no new calls."""

    code: ClassVar[str] = "draining"
    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class NoInstance:
    """No known instance of the service may receive the call."""

    code: ClassVar[str] = "no_instance"
    service: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownService:
    """The settings contain no such service."""

    code: ClassVar[str] = "unknown_service"
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unreachable:
    """No connection to the instance could be opened."""

    code: ClassVar[str] = "unreachable"
    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantined:
    """Calls with this fingerprint have crashed workers.

    See `quarantine.crash_registry`.
    """

    code: ClassVar[str] = "quarantined"
    fingerprint: str
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class BodyTooLarge:
    """The length announced for the body exceeds the limit in the settings."""

    code: ClassVar[str] = "body_too_large"
    length_bytes: int
    limit_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class RetriesExhausted:
    """Another attempt would exceed a limit on retries.

    The limit is the retry allowance of the chain, which is a root request and
    the calls that it causes, or the retry budget of the service. `last_reason`
    is the reason for which that attempt was to be made, "budget_spent" if the
    budget does not permit it.
    """

    code: ClassVar[str] = "retries_exhausted"
    last_reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ParentEnded:
    """The parent of this call has ended, or its token was never valid.

    A child call names its parent by the parent's token (see
    `chain.inbound_calls`).
    """

    code: ClassVar[str] = "parent_ended"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyReused:
    """The idempotency key was used before with a different request."""

    code: ClassVar[str] = "key_reused"


@dataclasses.dataclass(frozen=True, slots=True)
class KeyMemoryFull:
    """The home of the idempotency key can't store another key for now.

    The home is the daemon that may run calls with the key.
    """

    code: ClassVar[str] = "key_memory_full"
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NotHome:
    """This daemon must not run a call with this idempotency key.

    Another daemon is the home of the key, or may have run the call before. Sent
    between daemons only; callers get `outcomes.Unknown` instead. `home` is the
    instance to ask instead, empty when none is known.
    """

    code: ClassVar[str] = "not_home"
    home: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidRequest:
    """The request is malformed; `detail` says what to correct."""

    code: ClassVar[str] = "invalid_request"
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class WrongCredential:
    """The sender did not prove that it is a daemon of this deployment."""

    code: ClassVar[str] = "wrong_credential"
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class NotReady:
    """The daemon has just started and has not received the routes."""

    code: ClassVar[str] = "not_ready"
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class MemoryFull:
    """The requests in progress leave no memory for one that is so long.

    `held_bytes` is the memory that the request takes at this daemon.
    """

    code: ClassVar[str] = "memory_full"
    held_bytes: int
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class NoRoute:
    """No route matches the host and path."""

    code: ClassVar[str] = "no_route"
    host: str


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerRefused:
    """The worker itself reported that it did not run the call.

    Unlike the other refusals, this one came after the call was sent.
    """

    code: ClassVar[str] = "worker_refused"
    status: int
    retry_after_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class GateClosed:
    """The call is a root and was refused because `service` is overloaded.

    A root is a call without a parent, the first of its chain. `service` is the
    called service or one that the child calls of the root reach. The `score` of
    a root is its importance plus a fraction that depends on its root id. Roots
    with a score below the `level` of that service are refused before anything
    is sent for them (see `admission.gates`). The level was computed from
    reports of the service's instances, the oldest of which arrived `age_ms`
    ago.
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
    | MemoryFull
    | NoRoute
    | WorkerRefused
    | GateClosed
)


def get_retry_after_ms(refusal: Refusal) -> int | None:
    """Returns how long to wait before a resend, None when unknown."""
    match refusal:
        case (
            Overloaded(retry_after_ms=wait_ms)
            | QueueTimeout(retry_after_ms=wait_ms)
            | NoInstance(retry_after_ms=wait_ms)
            | Quarantined(retry_after_ms=wait_ms)
            | KeyMemoryFull(retry_after_ms=wait_ms)
            | NotReady(retry_after_ms=wait_ms)
            | MemoryFull(retry_after_ms=wait_ms)
            | WorkerRefused(retry_after_ms=wait_ms)
            | GateClosed(retry_after_ms=wait_ms)
        ):
            return wait_ms
        case _:
            return None
