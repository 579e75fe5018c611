"""Tests of the encoding of control messages."""

import pytest

from kumquatridge.membership import member as members
from kumquatridge.membership import messages
from kumquatridge.peers import errors
from kumquatridge.peers import messages as codec

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
# 2 instances with 20 slots in total, and one gateway.
SERVICE = messages.ServiceSummary(
    "stock", 2, 20, (messages.Gateway("n1", "10.0.0.1:1"),)
)


@pytest.mark.parametrize(
    "request_",
    # Digests are numbers of up to 64 bits.
    [
        messages.Heartbeat("n1", (MEMBER,), (messages.TopicDigest(1, 2**63),)),
        messages.ProbeRequest("n2"),
        messages.VersionsRequest(2, (1, 2, 3)),
        messages.EntriesRequest(2, ("a", "b")),
        messages.SummaryRequest("passau", 2**64 - 1),
    ],
    ids=lambda message: type(message).__name__,
)
def test_request_round_trips(request_: messages.Request) -> None:
    assert codec.decode_request(codec.encode(request_)) == request_


@pytest.mark.parametrize(
    "answer",
    [
        messages.Heartbeat("n1", (), ()),
        messages.Heartbeat("n1", (), (), False, 12.5, "n2/7/1"),
        messages.ProbeAnswer(True),
        messages.VersionsAnswer((messages.KeyVersion("a", 1),)),
        messages.EntriesAnswer((b"x",)),
        messages.SummaryAnswer("passau", 1, (SERVICE,), ("10.0.0.1:2",)),
        messages.SummaryAnswer("passau", 1, None),
    ],
    ids=lambda message: type(message).__name__,
)
def test_answer_round_trips(answer: messages.Answer) -> None:
    assert codec.decode_answer(codec.encode(answer)) == answer


# No bytes, integers instead of an array, and an array with the unknown tag 99.
@pytest.mark.parametrize("data", [b"", b"\xff\xff", b"\x91\x63"])
def test_malformed_bytes_are_refused(data: bytes) -> None:
    with pytest.raises(errors.MalformedMessageError):
        codec.decode_request(data)
    with pytest.raises(errors.MalformedMessageError):
        codec.decode_answer(data)
