"""Gates that daemons report to each other with the outcome of a call."""

import contextlib

import pytest
from returns import result

from kumquatridge import clock
from kumquatridge.admission import connection_limits
from kumquatridge.admission import gates
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.encoding import answer_codec
from kumquatridge.encoding import call_codec
from kumquatridge.platform import peers
from kumquatridge.transport import frame_listener
from kumquatridge.transport import frames
from tests import calls_factory

# The numbers are the level, the downstream level and the time of the report.
GATE = gates.Gate("shop", "machine-1", 0.5, 0.25, frozenset(("a",)), 0.0)


class FakeServer:
    """Call server that answers all calls alike."""

    def serve(
        self, call: calls.Call
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Returns `calls_factory.ANSWER`."""
        return contextlib.nullcontext(calls_factory.ANSWER)


class RecordingResponder(frame_listener.FrameResponder):
    """Records the heads of answers."""

    def __init__(self) -> None:
        self.heads: list[bytes] = []

    @property
    def request_bytes(self) -> int:
        """Returns 0, which is always admitted."""
        return 0

    async def send(self, head: bytes, body: call_body.Body) -> None:
        """Records the head of an answer."""
        self.heads.append(head)


def make_endpoint(*known_gates: gates.Gate) -> peers.PeerEndpoint:
    """Returns an endpoint that knows the gates given."""
    return peers.PeerEndpoint(
        FakeServer(),
        1000,
        lambda now_ms: known_gates,
        connection_limits.ConnectionLimiter(),
    )


def count_gates(head: bytes) -> int:
    match answer_codec.decode_answer(head, call_body.EMPTY, 0.0):
        case result.Success(answer_codec.DecodedAnswer(_, reported)):
            return len(reported)
        case fault:
            raise AssertionError(fault)


@pytest.mark.parametrize(
    ("sent", "reported"),
    # `sent` has the sender and the time (in ms) of each call, `reported` the
    # number of gates in each answer. `peers.GATE_REPORT_INTERVAL_MS` is 200.
    [
        pytest.param(
            [("a", 0.0), ("a", 1.0)], [1, 0], id="within the interval"
        ),
        pytest.param([("a", 0.0), ("b", 1.0)], [1, 1], id="another daemon"),
        pytest.param(
            [("a", 0.0), ("a", 199.0), ("a", 200.0), ("a", 399.0)],
            [1, 0, 1, 0],
            id="after the interval",
        ),
    ],
)
async def test_gates_are_reported_to_each_daemon_once_per_interval(
    sent: list[tuple[str, float]],
    reported: list[int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    endpoint = make_endpoint(GATE)
    responder = RecordingResponder()
    for sender, now_ms in sent:
        monkeypatch.setattr(clock, "get_now_ms", lambda now_ms=now_ms: now_ms)
        head = call_codec.encode_call(calls_factory.make_call(), sender)
        message = frames.Message(head, call_body.EMPTY)
        await endpoint.handle(message, responder)
    assert [count_gates(head) for head in responder.heads] == reported


async def test_malformed_call_message_is_refused_as_not_run() -> None:
    endpoint = make_endpoint()
    responder = RecordingResponder()
    message = frames.Message(b"\x00", call_body.EMPTY)
    await endpoint.handle(message, responder)
    match answer_codec.decode_answer(responder.heads[0], call_body.EMPTY, 0.0):
        case result.Success(
            answer_codec.DecodedAnswer(outcomes.NotRun(refusal), _)
        ):
            assert refusal.code == "invalid_request"
        case decoded:
            raise AssertionError(decoded)
