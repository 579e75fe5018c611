"""Calls between the daemons of the platform, in frames."""

from collections.abc import Callable
import contextlib

from returns import result

from kumquatridge import clock
from kumquatridge import scopes
from kumquatridge.admission import gates
from kumquatridge.callpath import links
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.encoding import answer_codec
from kumquatridge.encoding import call_codec
from kumquatridge.membership import member as members
from kumquatridge.transport import errors as transport_errors
from kumquatridge.transport import frame_listener
from kumquatridge.transport import frame_pool
from kumquatridge.transport import frames

# The receiving daemon's own time-out answers first; this is for its silence.
ANSWER_GRACE_MS = 50.0
# A daemon hears of all gates from each of the others, so that a fifth of their
# lifetime between two answers that tell them is often enough.
TELL_INTERVAL_MS = 200.0


class SitePeerLink:
    """Carries calls to other daemons."""

    def __init__(
        self,
        instance: str,
        connections: frame_pool.FramePool,
        gate_table: gates.GateTable,
    ) -> None:
        self._instance = instance
        self._connections = connections
        self._gate_table = gate_table

    def send(self, call: calls.Call, member: members.Member) -> "_Attempt":
        """Sends a call; see `callpath.links.PeerLink`."""
        return _Attempt(self, call, member)

    def send_home(
        self, call: calls.Call, member: members.Member
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call; callers of the platform send no request keys."""
        return self.send(call, member)

    def open(
        self, call: calls.Call, member: members.Member
    ) -> frame_pool.FrameExchange:
        """Returns the exchange of a call for its answer."""
        head = call_codec.encode_call(call, self._instance)
        message = frames.Message(head, call.body)
        allowed_ms = max(0.0, call.chain.get_remaining_ms()) + ANSWER_GRACE_MS
        return self._connections.send(member.call_address, message, allowed_ms)

    def read(self, answer: frames.Message) -> outcomes.Outcome:
        """Returns the outcome that another daemon's answer tells."""
        now_ms = clock.get_now_ms()
        match answer_codec.decode_answer(answer.head, answer.body, now_ms):
            case result.Success(answer_codec.Told(outcome, told)):
                for gate in told:
                    self._gate_table.merge(gate)
                return outcome
            case result.Failure(fault):
                return outcomes.Unknown(f"a daemon's answer: {fault}")
        raise AssertionError("a result is a success or a failure")


class _Attempt(scopes.Scope[outcomes.Outcome]):
    """A call at another daemon, cancelled when it is left early."""

    def __init__(
        self, link: SitePeerLink, call: calls.Call, member: members.Member
    ) -> None:
        self._link = link
        self._call = call
        self._member = member
        self._exchange: frame_pool.FrameExchange | None = None

    async def _open(self) -> outcomes.Outcome:
        exchange = self._link.open(self._call, self._member)
        try:
            answer = await exchange.__aenter__()
        except transport_errors.ConnectError:
            return outcomes.NotRun(refusals.Unreachable(self._member.instance))
        except transport_errors.AnswerTimeoutError:
            return outcomes.Unknown(
                "no answer before the deadline", timed_out=True
            )
        except transport_errors.TransportError as error:
            return outcomes.Unknown(f"connection to a daemon: {error}")
        self._exchange = exchange
        return self._link.read(answer)

    async def _close(self, error: BaseException | None) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            await scopes.leave(exchange, error)


class PeerEndpoint:
    """Serves the calls of other daemons at the own worker."""

    def __init__(
        self,
        path: links.Server,
        max_body_bytes: int,
        get_gates: Callable[[float], tuple[gates.Gate, ...]],
    ) -> None:
        self._path = path
        self._max_body_bytes = max_body_bytes
        self._get_gates = get_gates
        self._told_ms: dict[str, float] = {}

    async def handle(
        self, message: frames.Message, responder: frame_listener.FrameResponder
    ) -> None:
        """Answers one message."""
        found = call_codec.decode_call(
            message.head, message.body, self._max_body_bytes
        )
        match found:
            case result.Success(received):
                await self._serve(received, responder)
            case result.Failure(fault):
                refused = outcomes.NotRun(refusals.InvalidRequest(fault))
                head = answer_codec.encode_answer(refused, (), 0.0)
                await responder.send(head, call_body.EMPTY)

    async def _serve(
        self,
        received: call_codec.Received,
        responder: frame_listener.FrameResponder,
    ) -> None:
        async with self._path.serve(received.call) as outcome:
            body = answer_codec.get_body(outcome)
            head = self._encode(outcome, received.sender)
            if not call_body.is_buffered(body):
                await responder.send(head, body)
        if call_body.is_buffered(body):  # The slot is free by now.
            await responder.send(head, body)

    def _encode(self, outcome: outcomes.Outcome, sender: str) -> bytes:
        now_ms = clock.get_now_ms()
        told = self._get_untold(sender, now_ms)
        return answer_codec.encode_answer(outcome, told, now_ms)

    def _get_untold(self, sender: str, now_ms: float) -> tuple[gates.Gate, ...]:
        """Returns the gates, unless the sender was told them just now."""
        told_ms = self._told_ms.get(sender)
        if told_ms is not None and now_ms - told_ms < TELL_INTERVAL_MS:
            return ()
        self._told_ms[sender] = now_ms
        return self._get_gates(now_ms)
