"""The bytes of control messages, in MessagePack."""

import msgspec

from kumquatridge.membership import messages
from kumquatridge.peers import errors
from kumquatridge.peers import member_codec
from kumquatridge.peers import summary_codec


class _Digest(msgspec.Struct, frozen=True, array_like=True):
    topic: int
    digest: int


class _Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag=1):
    sender: str
    updates: tuple[member_codec.MemberStruct, ...]
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


class _SummaryAnswer(msgspec.Struct, frozen=True, array_like=True, tag=9):
    data_centre: str
    digest: int
    services: tuple[summary_codec.ServiceStruct, ...] | None
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


def _decode(data: bytes) -> _Wire:
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise errors.MalformedMessageError(str(error)) from error


def _to_wire(message: Message) -> _Wire:
    match message:
        case messages.Heartbeat(sender, updates, digests, knows_receiver):
            return _Heartbeat(
                sender,
                tuple(member_codec.write_member(one) for one in updates),
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
                tuple(member_codec.read_member(one) for one in wire.updates),
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
        else tuple(summary_codec.write_service(one) for one in services),
        answer.contacts,
    )


def _read_summary(wire: _SummaryAnswer) -> messages.SummaryAnswer:
    return messages.SummaryAnswer(
        wire.data_centre,
        wire.digest,
        None
        if wire.services is None
        else tuple(summary_codec.read_service(one) for one in wire.services),
        wire.contacts,
    )
