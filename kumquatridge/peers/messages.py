"""Control messages and their bytes."""

import msgspec

from kumquatridge.membership import member as members
from kumquatridge.peers import errors

_STATES: dict[str, type[members.Alive] | type[members.Leaving]] = {
    "alive": members.Alive,
    "leaving": members.Leaving,
}


class MemberNews(msgspec.Struct, frozen=True, array_like=True):
    """What one daemon tells another about a member."""

    instance: str
    incarnation: int
    data_centre: str
    call_address: str
    control_address: str
    announcement: members.Announcement | None
    state: str


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """The sender's own member and those it knows."""

    key: str
    news: tuple[MemberNews, ...]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Heartbeat)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Returns a heartbeat's bytes."""
    return _encoder.encode(heartbeat)


def decode_heartbeat(data: bytes) -> Heartbeat:
    """Returns the heartbeat of some bytes.

    Raises:
      MalformedMessageError: the bytes are not a heartbeat.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise errors.MalformedMessageError(str(error)) from error


def make_news(member: members.Member) -> MemberNews:
    """Returns the news of a member that may be passed on."""
    match member.state:
        case members.Leaving():
            state = "leaving"
        case _:
            state = "alive"
    return MemberNews(
        member.instance,
        member.incarnation,
        member.data_centre,
        member.call_address,
        member.control_address,
        member.announcement,
        state,
    )


def read_news(news: MemberNews) -> members.Member:
    """Returns the member that news is about.

    Raises:
      MalformedMessageError: the state is not known.
    """
    state_class = _STATES.get(news.state)
    if state_class is None:
        raise errors.MalformedMessageError(f"unknown state {news.state!r}")
    return members.Member(
        news.instance,
        news.incarnation,
        news.data_centre,
        news.call_address,
        news.control_address,
        news.announcement,
        state_class(),
    )
