"""Tests of the encoding of calls and answers between daemons."""

import typing

from hypothesis import given
from hypothesis import strategies
import pytest
from returns import result

from kumquatridge.admission import gates
from kumquatridge.calls import body as call_body
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import load_reports
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.encoding import answer_codec
from kumquatridge.encoding import call_codec
from tests import calls_factory
from tests.operators import test_explanations

BODY = call_body.BufferedBody(b"\x00raw\xff")
# An admission level (normal, depth class 1, threshold 17), 4 calls in progress,
# a limit of 8 calls that may run at once, and a latency of 12.5 ms.
REPORT = load_reports.LoadReport(
    call_importance.Importance.NORMAL, 1, 17, 4, 8, 12.5
)
# Level, downstream level, root routes, and the time of the report in ms.
GATE = gates.Gate("shop", "machine-1", 0.5, 0.25, frozenset(("a", "b")), 900.0)
HEADERS = (("x-mine", "ä"), ("host", "shop.example"))


async def test_call_round_trips_with_its_context() -> None:
    # 77 is the receiving daemon's limit on the size of the body, in bytes.
    call = calls_factory.make_call(root_id="r.1", depth=2, remaining_ms=900.0)
    match call_codec.decode_call(
        call_codec.encode_call(call, "machine-2"), BODY, 77
    ):
        case result.Success(call_codec.ReceivedCall("machine-2", received)):
            pass
        case failure:
            raise AssertionError(failure)
    assert (received.method, received.path, received.headers) == (
        "GET",
        "/",
        (),
    )
    assert received.body == BODY
    assert received.chain.root_id == "r.1"
    assert received.chain.depth == 2
    assert received.chain.importance == call.chain.importance
    assert received.policy.service == call.policy.service
    assert received.policy.idempotent == call.policy.idempotent
    assert received.policy.max_body_bytes == 77
    assert 0.0 < received.chain.get_remaining_ms() <= 900.0


@pytest.mark.parametrize(
    "outcome",
    [
        pytest.param(
            outcomes.Completed(201, HEADERS, BODY, 2, REPORT), id="completed"
        ),
        # The worker shed the call, and a child call failed.
        pytest.param(
            outcomes.Completed(503, (), BODY, 0, None, True, True), id="shed"
        ),
        pytest.param(outcomes.Failed("why", 1, REPORT), id="failed"),
        # The worker was lost, and the deadline passed.
        pytest.param(
            outcomes.Unknown("why", 1, REPORT, True, True), id="unknown"
        ),
        *(
            pytest.param(
                outcomes.NotRun(
                    test_explanations.make_refusal(refusal_class), 3, REPORT
                ),
                id=refusal_class.code,
            )
            for refusal_class in typing.get_args(refusals.Refusal)
        ),
    ],
)
def test_outcome_round_trips_with_gates(outcome: outcomes.Outcome) -> None:
    # The gate is 100 ms old when it is sent, at 1000 ms on the sender's clock.
    # The receiver's clock then shows 5000 ms.
    data = answer_codec.encode_answer(outcome, (GATE,), 1000.0)
    body = answer_codec.get_body(outcome)
    decoded = answer_codec.decode_answer(data, body, 5000.0)
    gate = gates.Gate(
        "shop", "machine-1", 0.5, 0.25, frozenset(("a", "b")), 4900.0
    )
    assert decoded == result.Success(
        answer_codec.DecodedAnswer(outcome, (gate,))
    )


@given(data=strategies.binary(max_size=64))
async def test_arbitrary_bytes_fail_to_decode(data: bytes) -> None:
    assert isinstance(
        call_codec.decode_call(data, BODY, 1), result.Failure
    ) and isinstance(
        answer_codec.decode_answer(data, BODY, 0.0), result.Failure
    )
