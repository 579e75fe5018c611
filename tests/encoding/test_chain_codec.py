"""Tests of the encoding of chain contexts."""

import dataclasses

import pytest
from returns import result

from kumquatridge.chain import context
from kumquatridge.encoding import chain_codec
from tests import calls_factory


# The virtual clock stands still in these tests, so that the decoded deadline is
# the encoded one.
@pytest.mark.looptime
@pytest.mark.parametrize(
    ("depth", "held_ms", "waited_ms", "is_contended"),
    [
        pytest.param(0, 0.0, 0.0, False, id="root call"),
        pytest.param(3, 40.5, 2.25, True, id="deep call in a contended chain"),
    ],
)
async def test_context_round_trips(
    depth: int, held_ms: float, waited_ms: float, is_contended: bool
) -> None:
    chain = dataclasses.replace(
        calls_factory.make_call(depth=depth).chain,
        slot_held_ms=held_ms,
        waited_ms=waited_ms,
        is_contended=is_contended,
    )
    decoded = chain_codec.decode_chain(chain_codec.encode_chain(chain))
    assert decoded == result.Success(chain)


@pytest.mark.looptime
@pytest.mark.parametrize(
    "text",
    # Root id, importance, remaining time, retry allowance and depth.
    [
        pytest.param("", id="empty"),
        pytest.param('["root",9,100,3,0]', id="unknown importance"),
        pytest.param('["root",1,100,3]', id="no depth"),
    ],
)
async def test_malformed_text_fails_to_decode(text: str) -> None:
    decoded = chain_codec.decode_chain(text)
    assert isinstance(decoded, result.Failure)


@pytest.mark.looptime
async def test_context_of_older_daemon_gets_defaults() -> None:
    # Older daemons send nothing after the depth.
    decoded = chain_codec.decode_chain('["root",1,100,3,2]')
    match decoded:
        case result.Success(context.ChainContext() as chain):
            assert (chain.slot_held_ms, chain.waited_ms) == (0.0, 0.0)
            assert not chain.is_contended
        case failure:
            pytest.fail(str(failure))
