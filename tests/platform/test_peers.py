"""What daemons tell each other beside the outcome of a call."""

import contextlib

import pytest
from returns import result

from kumquatridge import clock
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

GATE = gates.Gate("shop", "machine-1", 0.5, 0.25, frozenset(("a",)), 0.0)


class Path:
    """Answers every call."""

    def serve(
        self, call: calls.Call
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Returns the same answer for each call."""
        return contextlib.nullcontext(calls_factory.ANSWER)


class Responder(frame_listener.FrameResponder):
    """Keeps what was answered."""

    def __init__(self) -> None:
        self.heads: list[bytes] = []

    async def send(self, head: bytes, body: call_body.Body) -> None:
        """Takes an answer."""
        self.heads.append(head)


def count_gates(head: bytes) -> int:
    match answer_codec.decode_answer(head, call_body.EMPTY, 0.0):
        case result.Success(answer_codec.Told(_, told)):
            return len(told)
        case fault:
            raise AssertionError(fault)


@pytest.mark.parametrize(
    ("sent", "told"),
    [
        pytest.param([("a", 0.0), ("a", 1.0)], [1, 0], id="told just now"),
        pytest.param([("a", 0.0), ("b", 1.0)], [1, 1], id="another daemon"),
        pytest.param(
            [("a", 0.0), ("a", 199.0), ("a", 200.0), ("a", 399.0)],
            [1, 0, 1, 0],
            id="again in time",
        ),
    ],
)
async def test_gates_are_told_to_each_daemon_at_intervals(
    sent: list[tuple[str, float]],
    told: list[int],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    endpoint = peers.PeerEndpoint(Path(), 1000, lambda now_ms: (GATE,))
    responder = Responder()
    for sender, now_ms in sent:
        monkeypatch.setattr(clock, "get_now_ms", lambda now_ms=now_ms: now_ms)
        head = call_codec.encode_call(calls_factory.make_call(), sender)
        message = frames.Message(head, call_body.EMPTY)
        await endpoint.handle(message, responder)
    assert [count_gates(head) for head in responder.heads] == told


async def test_message_that_is_no_call_did_not_run() -> None:
    endpoint = peers.PeerEndpoint(Path(), 1000, lambda now_ms: ())
    responder = Responder()
    message = frames.Message(b"\x00", call_body.EMPTY)
    await endpoint.handle(message, responder)
    match answer_codec.decode_answer(responder.heads[0], call_body.EMPTY, 0.0):
        case result.Success(answer_codec.Told(outcomes.NotRun(refusal), _)):
            assert refusal.code == "invalid_request"
        case other:
            raise AssertionError(other)
