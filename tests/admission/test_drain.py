"""Which calls a stopping daemon accepts, at every grace period."""

import dataclasses

import hypothesis
from hypothesis import strategies
import pytest

from kumquatridge.admission import drain
from kumquatridge.calls import importance
from kumquatridge.chain import context

STARTED_MS = 1000.0


def make_chain(expires_at_ms: float, depth: int = 0) -> context.ChainContext:
    return context.ChainContext(
        root_id="root",
        importance=importance.Importance.NORMAL,
        expires_at_ms=expires_at_ms,
        retry_allowance=0,
        depth=depth,
    )


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A call that arrives `at_s` after the start of a drain."""

    grace_s: float
    at_s: float
    deadline_s: float
    depth: int = 0


# Guards against a call that is accepted late in the grace period and still in
# progress at its end.
@pytest.mark.parametrize(
    ("arrival", "accepts"),
    [
        pytest.param(Arrival(10.0, 2.4, 60.0), True, id="not noticed yet"),
        pytest.param(Arrival(10.0, 2.6, 6.0), True, id="ends in time"),
        pytest.param(Arrival(10.0, 3.2, 6.0), False, id="may end too late"),
        pytest.param(Arrival(10.0, 4.8, 6.0), False, id="in the first half"),
        pytest.param(Arrival(10.0, 7.0, 2.0), True, id="a short deadline"),
        pytest.param(Arrival(10.0, 7.2, 2.0), False, id="short, but late"),
        pytest.param(Arrival(10.0, 9.05, 60.0, 1), True, id="a child call"),
        pytest.param(Arrival(10.0, 9.15, 0.1, 1), False, id="a late child"),
        pytest.param(Arrival(6.0, 2.4, 6.0), True, id="6 s, not noticed yet"),
        pytest.param(Arrival(6.0, 2.6, 2.4), True, id="6 s, ends in time"),
        pytest.param(Arrival(6.0, 2.6, 3.0), False, id="6 s, too late"),
        pytest.param(Arrival(2.0, 0.9, 6.0), True, id="2 s, not noticed yet"),
        pytest.param(Arrival(2.0, 1.1, 6.0), False, id="2 s, too late"),
        pytest.param(Arrival(2.0, 1.1, 0.3), True, id="2 s, ends in time"),
        pytest.param(Arrival(0.0, 0.0, 0.1), False, id="no grace period"),
    ],
)
def test_call_that_may_outlast_the_drain_is_not_accepted(
    arrival: Arrival, accepts: bool
) -> None:
    stopping = drain.Drain(STARTED_MS, arrival.grace_s * 1000.0)
    now_ms = STARTED_MS + arrival.at_s * 1000.0
    chain = make_chain(now_ms + arrival.deadline_s * 1000.0, arrival.depth)
    assert stopping.accepts(chain, now_ms) is accepts


@hypothesis.given(
    grace_ms=strategies.floats(1.0, 120_000.0),
    share=strategies.floats(0.0, 1.5),
    deadline_ms=strategies.floats(1.0, 120_000.0),
)
def test_accepted_call_ends_before_the_process_is_killed(
    grace_ms: float, share: float, deadline_ms: float
) -> None:
    stopping = drain.Drain(STARTED_MS, grace_ms)
    now_ms = STARTED_MS + share * grace_ms
    expires_at_ms = now_ms + deadline_ms
    assert STARTED_MS <= stopping.notice_until_ms <= stopping.ends_ms
    assert stopping.ends_ms < stopping.flushed_ms < STARTED_MS + grace_ms
    if stopping.accepts(make_chain(expires_at_ms), now_ms):
        assert now_ms < stopping.ends_ms
        assert (
            expires_at_ms <= stopping.ends_ms
            or now_ms < stopping.notice_until_ms
        )
