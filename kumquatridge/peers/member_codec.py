"""The bytes of members, in MessagePack."""

import enum

import msgspec

from kumquatridge import clock
from kumquatridge.membership import member as members
from kumquatridge.peers import errors


class StateNumber(enum.IntEnum):
    """A member's state as it is sent."""

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


class MemberStruct(msgspec.Struct, frozen=True, array_like=True):
    """A member as it is sent."""

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
    """Returns the bytes of one member."""
    return _encoder.encode(write_member(member))


def decode_member(data: bytes) -> members.Member:
    """Returns the member of some bytes.

    Raises:
      MalformedMessageError: the bytes are not a member.
    """
    try:
        return read_member(_decoder.decode(data))
    except msgspec.DecodeError as error:
        raise errors.MalformedMessageError(str(error)) from error


def write_member(member: members.Member) -> MemberStruct:
    """Returns a member as it is sent."""
    number, reason = _get_state_number(member.state)
    announcement = member.announcement
    return MemberStruct(
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


def _get_state_number(state: members.State) -> tuple[StateNumber, str]:
    match state:
        case members.Alive():
            return StateNumber.ALIVE, ""
        case members.Suspected(_, reason):
            return StateNumber.SUSPECTED, reason
        case members.Leaving():
            return StateNumber.LEAVING, ""
        case members.Dead(_, reason):
            return StateNumber.DEAD, reason


def read_member(wire: MemberStruct) -> members.Member:
    """Returns the member that was sent."""
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
        _read_state(wire.state, wire.reason),
    )


def _read_state(number: StateNumber, reason: str) -> members.State:
    """Returns a state; times are those of the local clock."""
    match number:
        case StateNumber.ALIVE:
            return members.Alive()
        case StateNumber.SUSPECTED:
            return members.Suspected(clock.get_now_ms(), reason)
        case StateNumber.LEAVING:
            return members.Leaving()
        case StateNumber.DEAD:
            return members.Dead(clock.get_now_ms(), reason)
