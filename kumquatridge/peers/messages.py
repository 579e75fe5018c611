"""The bytes of control messages, in MessagePack."""

import msgspec

from kumquatridge import clock
from kumquatridge.membership import member as members
from kumquatridge.membership import messages
from kumquatridge.membership import remote
from kumquatridge.peers import errors

ALIVE = 0
SUSPECTED = 1
LEAVING = 2
DEAD = 3


class _Announcement(msgspec.Struct, frozen=True, array_like=True):
    service: str
    address: str
    slots: int
    connections: int
    warm_up_ms: int


class _News(msgspec.Struct, frozen=True, array_like=True):
    instance: str
    incarnation: int
    data_centre: str
    call_address: str
    control_address: str
    announcement: _Announcement | None
    state: int
    reason: str = ""


class _Digest(msgspec.Struct, frozen=True, array_like=True):
    topic: int
    digest: int


class _Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    sender: str
    news: tuple[_News, ...]
    digests: tuple[_Digest, ...]
    knows_receiver: bool


class _ProbeRequest(msgspec.Struct, frozen=True, array_like=True, tag=2):
    instance: str


class _ProbeAnswer(msgspec.Struct, frozen=True, array_like=True, tag=3):
    reached: bool


class _Version(msgspec.Struct, frozen=True, array_like=True):
    key: str
    version: int


class _VersionsRequest(msgspec.Struct, frozen=True, array_like=True, tag=4):
    topic: int
    buckets: tuple[int, ...]


class _VersionsAnswer(msgspec.Struct, frozen=True, array_like=True, tag=5):
    versions: tuple[_Version, ...]


class _EntriesRequest(msgspec.Struct, frozen=True, array_like=True, tag=6):
    topic: int
    keys: tuple[str, ...]


class _EntriesAnswer(msgspec.Struct, frozen=True, array_like=True, tag=7):
    entries: tuple[bytes, ...]


class _SummaryRequest(msgspec.Struct, frozen=True, array_like=True, tag=8):
    data_centre: str
    known: int


class _Gateway(msgspec.Struct, frozen=True, array_like=True):
    instance: str
    call_address: str


class _Service(msgspec.Struct, frozen=True, array_like=True):
    service: str
    instances: int
    slots: int
    gateways: tuple[_Gateway, ...]


class _SummaryAnswer(msgspec.Struct, frozen=True, array_like=True, tag=9):
    data_centre: str
    digest: int
    services: tuple[_Service, ...] | None
    contacts: tuple[str, ...]


_Wire = (
    _Heartbeat
    | _ProbeRequest
    | _ProbeAnswer
    | _VersionsRequest
    | _VersionsAnswer
    | _EntriesRequest
    | _EntriesAnswer
    | _SummaryRequest
    | _SummaryAnswer
)
Message = messages.Request | messages.Answer

_encoder = msgspec.msgpack.Encoder()
_decoder: msgspec.msgpack.Decoder[_Wire] = msgspec.msgpack.Decoder(_Wire)
_news_decoder = msgspec.msgpack.Decoder(_News)


def encode(message: Message) -> bytes:
    """Returns a message's bytes."""
    return _encoder.encode(_to_wire(message))


def decode_request(data: bytes) -> messages.Request:
    """Returns the request of some bytes.

    Raises:
      MalformedMessageError: the bytes are not a request.
    """
    match _from_wire(_decode(data)):
        case (
            messages.Heartbeat()
            | messages.ProbeRequest()
            | messages.VersionsRequest()
            | messages.EntriesRequest()
            | messages.SummaryRequest()
        ) as request:
            return request
        case _:
            raise errors.MalformedMessageError("not a request")


def decode_answer(data: bytes) -> messages.Answer:
    """Returns the answer of some bytes.

    Raises:
      MalformedMessageError: the bytes are not an answer.
    """
    match _from_wire(_decode(data)):
        case (
            messages.Heartbeat()
            | messages.ProbeAnswer()
            | messages.VersionsAnswer()
            | messages.EntriesAnswer()
            | messages.SummaryAnswer()
        ) as answer:
            return answer
        case _:
            raise errors.MalformedMessageError("not an answer")


def encode_member(member: members.Member) -> bytes:
    """Returns the bytes of one member."""
    return _encoder.encode(_make_news(member))


def decode_member(data: bytes) -> members.Member:
    """Returns the member of some bytes.

    Raises:
      MalformedMessageError: the bytes are not a member.
    """
    try:
        return _read_news(_news_decoder.decode(data))
    except msgspec.DecodeError as error:
        raise errors.MalformedMessageError(str(error)) from error


def _decode(data: bytes) -> _Wire:
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise errors.MalformedMessageError(str(error)) from error


def _to_wire(message: Message) -> _Wire:
    match message:
        case messages.Heartbeat(sender, news, digests, knows_receiver):
            return _Heartbeat(
                sender,
                tuple(_make_news(one) for one in news),
                tuple(_Digest(one.topic, one.digest) for one in digests),
                knows_receiver,
            )
        case messages.ProbeRequest(instance):
            return _ProbeRequest(instance)
        case messages.ProbeAnswer(reached):
            return _ProbeAnswer(reached)
        case messages.VersionsRequest(topic, buckets):
            return _VersionsRequest(topic, buckets)
        case messages.VersionsAnswer(versions):
            return _VersionsAnswer(
                tuple(_Version(one.key, one.version) for one in versions)
            )
        case messages.EntriesRequest(topic, keys):
            return _EntriesRequest(topic, keys)
        case messages.EntriesAnswer(entries):
            return _EntriesAnswer(entries)
        case messages.SummaryRequest(data_centre, known):
            return _SummaryRequest(data_centre, known)
        case messages.SummaryAnswer():
            return _make_summary(message)


def _from_wire(wire: _Wire) -> Message:
    match wire:
        case _Heartbeat():
            return messages.Heartbeat(
                wire.sender,
                tuple(_read_news(one) for one in wire.news),
                tuple(
                    messages.TopicDigest(one.topic, one.digest)
                    for one in wire.digests
                ),
                wire.knows_receiver,
            )
        case _ProbeRequest():
            return messages.ProbeRequest(wire.instance)
        case _ProbeAnswer():
            return messages.ProbeAnswer(wire.reached)
        case _VersionsRequest():
            return messages.VersionsRequest(wire.topic, wire.buckets)
        case _VersionsAnswer():
            return messages.VersionsAnswer(
                tuple(
                    messages.KeyVersion(one.key, one.version)
                    for one in wire.versions
                )
            )
        case _EntriesRequest():
            return messages.EntriesRequest(wire.topic, wire.keys)
        case _EntriesAnswer():
            return messages.EntriesAnswer(wire.entries)
        case _SummaryRequest():
            return messages.SummaryRequest(wire.data_centre, wire.known)
        case _SummaryAnswer():
            return _read_summary(wire)


def _make_summary(answer: messages.SummaryAnswer) -> _SummaryAnswer:
    services = answer.services
    return _SummaryAnswer(
        answer.data_centre,
        answer.digest,
        None
        if services is None
        else tuple(_make_service(one) for one in services),
        answer.contacts,
    )


def _make_service(summary: messages.ServiceSummary) -> _Service:
    return _Service(
        summary.service,
        summary.instances,
        summary.slots,
        tuple(
            _Gateway(one.instance, one.call_address) for one in summary.gateways
        ),
    )


def _read_summary(wire: _SummaryAnswer) -> messages.SummaryAnswer:
    return messages.SummaryAnswer(
        wire.data_centre,
        wire.digest,
        None
        if wire.services is None
        else tuple(_read_service(one) for one in wire.services),
        wire.contacts,
    )


def _read_service(wire: _Service) -> messages.ServiceSummary:
    return messages.ServiceSummary(
        wire.service,
        wire.instances,
        wire.slots,
        tuple(
            messages.Gateway(one.instance, one.call_address)
            for one in wire.gateways
        ),
    )


def _make_news(member: members.Member) -> _News:
    number, reason = _get_state_number(member.state)
    announcement = member.announcement
    return _News(
        member.instance,
        member.incarnation,
        member.data_centre,
        member.call_address,
        member.control_address,
        None if announcement is None else _make_announcement(announcement),
        number,
        reason,
    )


def _make_announcement(announcement: members.Announcement) -> _Announcement:
    """Returns what peers are told; the lease concerns the own daemon only."""
    return _Announcement(
        announcement.service,
        announcement.address,
        announcement.slots,
        announcement.connections,
        announcement.warm_up_ms,
    )


def _get_state_number(state: members.State) -> tuple[int, str]:
    match state:
        case members.Alive():
            return ALIVE, ""
        case members.Suspected(_, reason):
            return SUSPECTED, reason
        case members.Leaving():
            return LEAVING, ""
        case members.Dead(_, reason):
            return DEAD, reason


def _read_news(news: _News) -> members.Member:
    announcement = news.announcement
    return members.Member(
        news.instance,
        news.incarnation,
        news.data_centre,
        news.call_address,
        news.control_address,
        None
        if announcement is None
        else members.Announcement(
            announcement.service,
            announcement.address,
            announcement.slots,
            announcement.connections,
            announcement.warm_up_ms,
        ),
        _read_state(news.state, news.reason),
    )


def _read_state(number: int, reason: str) -> members.State:
    """Returns a state; times are those of the local clock."""
    match number:
        case 0:
            return members.Alive()
        case 1:
            return members.Suspected(clock.get_now_ms(), reason)
        case 2:
            return members.Leaving()
        case 3:
            return members.Dead(clock.get_now_ms(), reason)
        case _:
            raise errors.MalformedMessageError(f"unknown state {number}")


class _Remote(msgspec.Struct, frozen=True, array_like=True):
    name: str
    version: int
    digest: int
    silent_ms: float | None
    services: tuple[_Service, ...]
    contacts: tuple[str, ...]


_remote_decoder = msgspec.msgpack.Decoder(_Remote)


def encode_remote(known: remote.RemoteDataCentre) -> bytes:
    """Returns the bytes of what is known of a data centre."""
    return _encoder.encode(
        _Remote(
            known.name,
            known.version,
            known.digest,
            _get_silence_ms(known.reach),
            tuple(_make_service(one) for one in known.services),
            known.contacts,
        )
    )


def decode_remote(data: bytes) -> remote.RemoteDataCentre:
    """Returns what is known of a data centre.

    Raises:
      MalformedMessageError: the bytes are something else.
    """
    try:
        wire = _remote_decoder.decode(data)
    except msgspec.DecodeError as error:
        raise errors.MalformedMessageError(str(error)) from error
    return remote.RemoteDataCentre(
        wire.name,
        wire.version,
        wire.digest,
        _read_reach(wire.silent_ms),
        tuple(_read_service(one) for one in wire.services),
        wire.contacts,
    )


def _get_silence_ms(reach: remote.Reach) -> float | None:
    match reach:
        case remote.Reachable():
            return None
        case remote.CutOff(since_ms):
            return clock.get_now_ms() - since_ms


def _read_reach(silent_ms: float | None) -> remote.Reach:
    """Returns a reach; times are those of the local clock."""
    if silent_ms is None:
        return remote.Reachable()
    return remote.CutOff(clock.get_now_ms() - silent_ms)
