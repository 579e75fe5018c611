"""Encodes control messages in MessagePack.

Each message is an array of its tag, which is the number of its type, and its
fields in order. The fields are described in `membership.messages`.
"""

import math

import msgspec

from kumquatridge import decode_errors
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
    # None if there is no sign, and from older daemons.
    platform_sign_age_ms: float | None = None
    # Empty without a doubt, and from older daemons.
    platform_doubt: str = ""


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
    known_digest: int


class _SummaryAnswer(msgspec.Struct, frozen=True, array_like=True, tag=9):
    data_centre: str
    digest: int
    services: tuple[summary_codec.ServiceStruct, ...] | None
    contacts: tuple[str, ...]


_WireMessage = (
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
_decoder: msgspec.msgpack.Decoder[_WireMessage] = msgspec.msgpack.Decoder(
    _WireMessage
)


def encode(message: Message) -> bytes:
    """Encodes a request or an answer."""
    return _encoder.encode(_to_wire(message))


def decode_request(data: bytes) -> messages.Request:
    """Decodes a request.

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
            raise errors.MalformedMessageError(
                "control message is an answer, expected a request"
            )


def decode_answer(data: bytes) -> messages.Answer:
    """Decodes an answer.

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
            raise errors.MalformedMessageError(
                "control message is a request, expected an answer"
            )


def _decode(data: bytes) -> _WireMessage:
    try:
        return _decoder.decode(data)
    except decode_errors.DECODE_ERRORS as error:
        raise errors.MalformedMessageError(str(error)) from error


def _to_wire(message: Message) -> _WireMessage:
    match message:
        case messages.Heartbeat(
            sender, updates, digests, knows_receiver, sign_age_ms, doubt
        ):
            return _Heartbeat(
                sender,
                tuple(member_codec.member_to_struct(item) for item in updates),
                tuple(_Digest(item.topic, item.digest) for item in digests),
                knows_receiver,
                sign_age_ms if math.isfinite(sign_age_ms) else None,
                doubt,
            )
        case messages.ProbeRequest(instance):
            return _ProbeRequest(instance)
        case messages.ProbeAnswer(reached):
            return _ProbeAnswer(reached)
        case messages.VersionsRequest(topic, buckets):
            return _VersionsRequest(topic, buckets)
        case messages.VersionsAnswer(versions):
            return _VersionsAnswer(
                tuple(_Version(item.key, item.version) for item in versions)
            )
        case messages.EntriesRequest(topic, keys):
            return _EntriesRequest(topic, keys)
        case messages.EntriesAnswer(entries):
            return _EntriesAnswer(entries)
        case messages.SummaryRequest(data_centre, known_digest):
            return _SummaryRequest(data_centre, known_digest)
        case messages.SummaryAnswer():
            return _summary_to_wire(message)


def _from_wire(wire: _WireMessage) -> Message:
    match wire:
        case _Heartbeat():
            return messages.Heartbeat(
                wire.sender,
                tuple(
                    member_codec.member_from_struct(item)
                    for item in wire.updates
                ),
                tuple(
                    messages.TopicDigest(item.topic, item.digest)
                    for item in wire.digests
                ),
                wire.knows_receiver,
                math.inf
                if wire.platform_sign_age_ms is None
                else wire.platform_sign_age_ms,
                wire.platform_doubt,
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
                    messages.KeyVersion(item.key, item.version)
                    for item in wire.versions
                )
            )
        case _EntriesRequest():
            return messages.EntriesRequest(wire.topic, wire.keys)
        case _EntriesAnswer():
            return messages.EntriesAnswer(wire.entries)
        case _SummaryRequest():
            return messages.SummaryRequest(wire.data_centre, wire.known_digest)
        case _SummaryAnswer():
            return _summary_from_wire(wire)


def _summary_to_wire(answer: messages.SummaryAnswer) -> _SummaryAnswer:
    services = answer.services
    return _SummaryAnswer(
        answer.data_centre,
        answer.digest,
        None
        if services is None
        else tuple(summary_codec.service_to_struct(item) for item in services),
        answer.contacts,
    )


def _summary_from_wire(wire: _SummaryAnswer) -> messages.SummaryAnswer:
    return messages.SummaryAnswer(
        wire.data_centre,
        wire.digest,
        None
        if wire.services is None
        else tuple(
            summary_codec.service_from_struct(item) for item in wire.services
        ),
        wire.contacts,
    )
