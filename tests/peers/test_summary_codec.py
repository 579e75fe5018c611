"""Tests of the encoding of remote data centres."""

import pytest

from kumquatridge.membership import messages
from kumquatridge.membership import remote
from kumquatridge.peers import errors
from kumquatridge.peers import summary_codec

# 2 instances with 20 slots in total, and one gateway.
SERVICE = messages.ServiceSummary(
    "stock", 2, 20, (messages.Gateway("n1", "10.0.0.1:1"),)
)


# Cut off a minute before the virtual clock starts. The clock stands still here,
# so that the duration on the wire gives the same time again.
@pytest.mark.looptime
@pytest.mark.parametrize(
    "reach", [remote.Reachable(), remote.CutOff(-60_000.0)]
)
async def test_remote_data_centre_round_trips(reach: remote.Reach) -> None:
    # Version 1, digest 2.
    data_centre = remote.RemoteDataCentre(
        "passau", 1, 2, reach, (SERVICE,), ("a",)
    )
    data = summary_codec.encode_remote(data_centre)
    assert summary_codec.decode_remote(data) == data_centre


# No bytes, integers instead of an array, and an array with one integer only.
@pytest.mark.parametrize("data", [b"", b"\xff\xff", b"\x91\x63"])
def test_malformed_bytes_are_refused(data: bytes) -> None:
    with pytest.raises(errors.MalformedMessageError):
        summary_codec.decode_remote(data)
