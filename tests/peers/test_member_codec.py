"""Tests of the encoding of members."""

import dataclasses

import msgspec
import pytest

from kumquatridge import clock
from kumquatridge.membership import member as members
from kumquatridge.peers import errors
from kumquatridge.peers import member_codec

# Incarnation 7, data centre, call address, control address, and a worker with
# 10 slots, 40 connections and a warm-up of 500 ms.
MEMBER = members.Member(
    "n1",
    7,
    "landshut",
    "10.0.0.1:1",
    "10.0.0.1:2",
    members.Announcement("stock", "10.0.0.1:3", 10, 40, 500),
)
# A number that no state has.
UNKNOWN_STATE = 9


@pytest.mark.parametrize(
    "state",
    [
        members.Alive(),
        members.Suspected(0.0, "no answer to n2"),
        members.Leaving(),
        members.Dead(0.0, "suspected for too long"),
    ],
    ids=lambda state: type(state).__name__,
)
def test_member_in_any_state_round_trips(
    state: members.State, monkeypatch: pytest.MonkeyPatch
) -> None:
    # The time of a suspicion or death isn't sent: the decoder takes the clock.
    monkeypatch.setattr(clock, "get_now_ms", lambda: 0.0)
    member = dataclasses.replace(MEMBER, state=state)
    data = member_codec.encode_member(member)
    assert member_codec.decode_member(data) == member


def test_member_without_worker_round_trips() -> None:
    member = dataclasses.replace(MEMBER, announcement=None)
    data = member_codec.encode_member(member)
    assert member_codec.decode_member(data) == member


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff\xff", id="integers instead of an array"),
        pytest.param(b"\x91\x63", id="too few fields"),
        pytest.param(
            msgspec.msgpack.encode(
                ("n1", 7, "landshut", "", "", None, UNKNOWN_STATE)
            ),
            id="unknown state",
        ),
    ],
)
def test_malformed_bytes_are_refused(data: bytes) -> None:
    with pytest.raises(errors.MalformedMessageError):
        member_codec.decode_member(data)
