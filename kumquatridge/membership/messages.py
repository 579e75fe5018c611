"""What daemons ask each other and what they answer."""

import dataclasses

from kumquatridge.membership import member as members


@dataclasses.dataclass(frozen=True, slots=True)
class TopicDigest:
    """A number that is equal where the entries of a topic are equal."""

    topic: int
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A sign of life, with some updates; the answer is a heartbeat too.

    An answer says by `knows_receiver` whether its sender knows the member
    that it answers.
    """

    sender: str
    updates: tuple[members.Member, ...]
    digests: tuple[TopicDigest, ...]
    knows_receiver: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeRequest:
    """Asks the receiver to probe an instance on the sender's behalf."""

    instance: str


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeAnswer:
    """Whether the instance answered the receiver; False if not tried."""

    reached: bool


@dataclasses.dataclass(frozen=True, slots=True)
class KeyVersion:
    """The version of an entry."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionsRequest:
    """Asks for the versions of entries in buckets that differ."""

    topic: int
    buckets: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class VersionsAnswer:
    """The versions of the entries in those buckets."""

    versions: tuple[KeyVersion, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesRequest:
    """Asks for entries of a topic."""

    topic: int
    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class EntriesAnswer:
    """The entries, as many as fit into one message."""

    entries: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SummaryRequest:
    """Asks a daemon of another data centre for its summary.

    `known` is the digest of the summary that the sender has.
    """

    data_centre: str
    known: int


@dataclasses.dataclass(frozen=True, slots=True)
class Gateway:
    """An instance that takes calls from other data centres."""

    instance: str
    call_address: str


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceSummary:
    """What a data centre has of one service."""

    service: str
    instances: int
    slots: int
    gateways: tuple[Gateway, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SummaryAnswer:
    """The services of a data centre; None when `known` is still right."""

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
