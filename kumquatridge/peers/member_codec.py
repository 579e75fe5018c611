"""Encodes members in MessagePack."""

import enum

import msgspec

from kumquatridge import clock
from kumquatridge import decode_errors
from kumquatridge.membership import member as members
from kumquatridge.peers import errors


class StateNumber(enum.IntEnum):
    """The number of a member's state on the wire."""

    ALIVE = 0
    SUSPECTED = 1
    LEAVING = 2
    DEAD = 3


class _Announcement(msgspec.Struct, frozen=True, array_like=True):
    """An announcement on the wire: an array in the order of the fields."""

    service: str
    address: str
    slots: int
    connections: int
    warm_up_ms: int


class MemberStruct(msgspec.Struct, frozen=True, array_like=True):
    """A member on the wire: an array in the order of the fields.

    `reason` is empty unless the member is suspected or dead.
    """

    instance: str
    incarnation: int
    data_centre: str
    call_address: str
    control_address: str
    announcement: _Announcement | None
    state: StateNumber
    reason: str = ""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(MemberStruct)


def encode_member(member: members.Member) -> bytes:
    """Encodes a member."""
    return _encoder.encode(member_to_struct(member))


def decode_member(data: bytes) -> members.Member:
    """Decodes a member.

    Raises:
      MalformedMessageError: the bytes are not a member.
    """
    try:
        return member_from_struct(_decoder.decode(data))
    except decode_errors.DECODE_ERRORS as error:
        raise errors.MalformedMessageError(str(error)) from error


def member_to_struct(member: members.Member) -> MemberStruct:
    """Returns the wire form of a member."""
    number, reason = _encode_state(member.state)
    announcement = member.announcement
    return MemberStruct(
        member.instance,
        member.incarnation,
        member.data_centre,
        member.call_address,
        member.control_address,
        None if announcement is None else _encode_announcement(announcement),
        number,
        reason,
    )


def _encode_announcement(announcement: members.Announcement) -> _Announcement:
    """Returns the wire form, without the lease.

    Only the daemon of the worker's instance checks the lease.
    """
    return _Announcement(
        announcement.service,
        announcement.address,
        announcement.slots,
        announcement.connections,
        announcement.warm_up_ms,
    )


def _encode_state(state: members.State) -> tuple[StateNumber, str]:
    match state:
        case members.Alive():
            return StateNumber.ALIVE, ""
        case members.Suspected(_, reason):
            return StateNumber.SUSPECTED, reason
        case members.Leaving():
            return StateNumber.LEAVING, ""
        case members.Dead(_, reason):
            return StateNumber.DEAD, reason


def member_from_struct(wire: MemberStruct) -> members.Member:
    """Decodes a member from its wire form."""
    announcement = wire.announcement
    return members.Member(
        wire.instance,
        wire.incarnation,
        wire.data_centre,
        wire.call_address,
        wire.control_address,
        None
        if announcement is None
        else members.Announcement(
            announcement.service,
            announcement.address,
            announcement.slots,
            announcement.connections,
            announcement.warm_up_ms,
        ),
        _decode_state(wire.state, wire.reason),
    )


def _decode_state(number: StateNumber, reason: str) -> members.State:
    """Decodes a state from its number and reason.

    Clocks differ between instances, so the time of a suspicion or death is not
    sent; this daemon takes the time of receipt.
    """
    match number:
        case StateNumber.ALIVE:
            return members.Alive()
        case StateNumber.SUSPECTED:
            return members.Suspected(clock.get_now_ms(), reason)
        case StateNumber.LEAVING:
            return members.Leaving()
        case StateNumber.DEAD:
            return members.Dead(clock.get_now_ms(), reason)
