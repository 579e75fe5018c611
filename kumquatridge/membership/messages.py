"""Requests between daemons and their answers."""

import dataclasses
import math

from kumquatridge.membership import member as members


@dataclasses.dataclass(frozen=True, slots=True)
class TopicDigest:
    """The combined digest of a topic; equal entries give equal digests.

    `topic` is the topic's number; see `topics`.
    """

    topic: int
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat with some member updates; the answer is a heartbeat too.

    `sender` is the name of the sending instance. In an answer, `knows_receiver`
    says whether the answering daemon has the receiver in its member table.
    `platform_sign_age_ms` is the age of the newest sign that a daemon is in
    touch with the platform (see `platform_signs`), infinite if there is none.
    `platform_doubt` names the newest doubt of these signs, "" without one.
    """

    sender: str
    updates: tuple[members.Member, ...]
    digests: tuple[TopicDigest, ...]
    knows_receiver: bool = True
    platform_sign_age_ms: float = math.inf
    platform_doubt: str = ""


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks the receiver to probe an instance (indirect probe)."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Whether the instance answered the probe; False if none was sent."""

    reached: bool


@dataclasses.dataclass(frozen=True, slots=True)
class KeyVersion:
    """The key and the version of an entry of a topic."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionsRequest:
    """Asks for the versions of the entries in buckets that differ.

    `buckets` are the digests of all buckets of the sender; see `digests`.
    """

    topic: int
    buckets: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionsAnswer:
    """The versions of the entries in the buckets that differ."""

    versions: tuple[KeyVersion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesRequest:
    """Asks for entries of a topic."""

    topic: int
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesAnswer:
    """As many of the requested entries as fit into one message."""

    entries: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SummaryRequest:
    """Asks a daemon of another data centre for its summary.

    `data_centre` is that of the sender. `known_digest` is the digest of the
    summary that the sender has, or 0.
    """

    data_centre: str
    known_digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class Gateway:
    """An instance that accepts calls from other data centres."""

    instance: str
    call_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSummary:
    """Number of instances and slots of one service in a data centre."""

    service: str
    instances: int
    slots: int
    gateways: tuple[Gateway, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SummaryAnswer:
    """The summary of a data centre.

    `digest` covers `services` and `contacts`. `services` is None when the
    digest in the request is still current. `contacts` are control addresses of
    some daemons of the data centre.
    """

    data_centre: str
    digest: int
    services: tuple[ServiceSummary, ...] | None
    contacts: tuple[str, ...] = ()


Request = (
    Heartbeat | ProbeRequest | VersionsRequest | EntriesRequest | SummaryRequest
)
Answer = (
    Heartbeat | ProbeAnswer | VersionsAnswer | EntriesAnswer | SummaryAnswer
)
