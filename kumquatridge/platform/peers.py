"""Calls between the daemons on the platform, in binary frames."""

from collections.abc import Callable
import contextlib

from returns import result

from kumquatridge import clock
from kumquatridge import scopes
from kumquatridge.admission import connection_limits
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

# The receiving daemon answers at its own time-out. The sender waits this much
# longer, so that its time-out expires only for a silent peer.
ANSWER_GRACE_MS = 50.0
# A gate (see `admission.gates`) says which calls to refuse on behalf of an
# overloaded service. Every other daemon reports all gates that it knows, so one
# report to each peer in a fifth of a gate's lifetime suffices.
GATE_REPORT_INTERVAL_MS = 200.0
# Senders whose last report is remembered: more than there are daemons. Without
# the time of the last one a gate is reported once more.
MAX_SENDERS = 4096


class PlatformPeerLink:
    """Sends calls to other daemons; implements `callpath.links.PeerLink`."""

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
        """Sends a call; leaving the context early cancels it."""
        return _Attempt(self, call, member)

    def send_to_home(
        self, call: calls.Call, member: members.Member
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call as `send` does.

        A home is the only daemon that may run calls with an idempotency key
        (see `idempotency.home_registry`). Calls on the platform have no key.
        """
        return self.send(call, member)

    def open(
        self, call: calls.Call, member: members.Member
    ) -> frame_pool.FrameExchange:
        """Returns the frame exchange that sends a call and reads its answer."""
        head = call_codec.encode_call(call, self._instance)
        message = frames.Message(head, call.body)
        timeout_ms = max(0.0, call.chain.get_remaining_ms()) + ANSWER_GRACE_MS
        return self._connections.send(member.call_address, message, timeout_ms)

    def read(self, answer: frames.Message) -> outcomes.Outcome:
        """Decodes the outcome in a peer's answer; merges the reported gates."""
        now_ms = clock.get_now_ms()
        match answer_codec.decode_answer(answer.head, answer.body, now_ms):
            case result.Success(
                answer_codec.DecodedAnswer(outcome, reported_gates)
            ):
                for gate in reported_gates:
                    self._gate_table.merge(gate)
                return outcome
            case result.Failure(fault):
                return outcomes.Unknown(f"a daemon's answer: {fault}")
        raise AssertionError(
            "decode_answer returned neither Success nor Failure"
        )


class _Attempt(scopes.Scope[outcomes.Outcome]):
    """A call to another daemon, cancelled when its context is left early."""

    def __init__(
        self, link: PlatformPeerLink, call: calls.Call, member: members.Member
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
            await scopes.exit_context(exchange, error)


class PeerEndpoint:
    """Runs the calls of other daemons on the local worker.

    `get_gates` returns the gates to report as of a time in ms. Answers carry
    them to the calling daemon. `limiter` decides whether there is memory for a
    call.
    """

    def __init__(
        self,
        call_server: links.CallServer,
        max_body_bytes: int,
        get_gates: Callable[[float], tuple[gates.Gate, ...]],
        limiter: connection_limits.ConnectionLimiter,
    ) -> None:
        self._limiter = limiter
        self._call_server = call_server
        self._max_body_bytes = max_body_bytes
        self._get_gates = get_gates
        # Time of the last report to each daemon, by its instance.
        self._gates_reported_ms: dict[str, float] = {}

    async def handle(
        self, message: frames.Message, responder: frame_listener.FrameResponder
    ) -> None:
        """Runs the call in a message and answers with its outcome."""
        decoded = call_codec.decode_call(
            message.head, message.body, self._max_body_bytes
        )
        match decoded:
            case result.Success(received):
                if responder.is_request_small:
                    await self._serve(received, responder)
                else:
                    await self._serve_within_memory(received, responder)
            case result.Failure(fault):
                refused = outcomes.NotRun(refusals.InvalidRequest(fault))
                # The time (0.0) only serves to encode the age of gates, of
                # which there are none here.
                head = answer_codec.encode_answer(refused, (), 0.0)
                await responder.send(head, call_body.EMPTY)

    async def _serve_within_memory(
        self,
        received: call_codec.ReceivedCall,
        responder: frame_listener.FrameResponder,
    ) -> None:
        """Runs a call, or refuses it if there is no memory for it."""
        held_bytes = responder.request_bytes
        with self._limiter.reserve(held_bytes) as is_reserved:
            if is_reserved:
                await self._serve(received, responder)
                return
        refusal = refusals.MemoryFull(
            held_bytes, connection_limits.RETRY_AFTER_MS
        )
        head = self._encode(outcomes.NotRun(refusal), received.sender)
        await responder.send(head, call_body.EMPTY)

    async def _serve(
        self,
        received: call_codec.ReceivedCall,
        responder: frame_listener.FrameResponder,
    ) -> None:
        async with self._call_server.serve(received.call) as outcome:
            body = answer_codec.get_body(outcome)
            head = self._encode(outcome, received.sender)
            if not call_body.is_buffered(body):
                await responder.send(head, body)
        # A buffered body is sent after the worker's slot has been released.
        if call_body.is_buffered(body):
            await responder.send(head, body)

    def _encode(self, outcome: outcomes.Outcome, sender: str) -> bytes:
        now_ms = clock.get_now_ms()
        reported_gates = self._get_unreported_gates(sender, now_ms)
        return answer_codec.encode_answer(outcome, reported_gates, now_ms)

    def _get_unreported_gates(
        self, sender: str, now_ms: float
    ) -> tuple[gates.Gate, ...]:
        """Returns the gates to report to a daemon.

        There are none within `GATE_REPORT_INTERVAL_MS` after the last report.
        """
        reported_ms = self._gates_reported_ms.get(sender)
        if (
            reported_ms is not None
            and now_ms - reported_ms < GATE_REPORT_INTERVAL_MS
        ):
            return ()
        if len(self._gates_reported_ms) >= MAX_SENDERS:
            self._gates_reported_ms.clear()
        self._gates_reported_ms[sender] = now_ms
        return self._get_gates(now_ms)
