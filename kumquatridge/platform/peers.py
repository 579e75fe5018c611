"""Calls between the daemons of the platform, over HTTP.

The request is the caller's own, byte for byte; what the receiving daemon needs
beyond it rides in one header.
"""

from collections.abc import Callable
import contextlib
import types

from returns import result

from kumquatridge import clock
from kumquatridge.admission import gates
from kumquatridge.callpath import links
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.encoding import call_codec
from kumquatridge.encoding import gate_codec
from kumquatridge.encoding import outcome_codec
from kumquatridge.http import headers as own_headers
from kumquatridge.membership import member as members
from kumquatridge.platform import headers
from kumquatridge.platform import worker_link
from kumquatridge.transport import errors as transport_errors
from kumquatridge.transport import listener
from kumquatridge.transport import messages as http
from kumquatridge.transport import pool

STATUS_UNKNOWN = 502
STATUS_NOT_RUN = 503
STATUS_MALFORMED = 400
# The receiving daemon's own time-out answers first; this is for its silence.
ANSWER_GRACE_MS = 50.0


class SitePeerLink:
    """Carries calls to other daemons."""

    def __init__(
        self, connections: pool.ConnectionPool, board: gates.GateBoard
    ) -> None:
        self._connections = connections
        self._board = board

    def send(self, call: calls.Call, member: members.Member) -> "_Attempt":
        """Sends a call; see `callpath.links.PeerLink`."""
        return _Attempt(self, call, member)

    def send_home(
        self, call: calls.Call, member: members.Member
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call; callers of the platform send no request keys."""
        return self.send(call, member)

    def open(self, call: calls.Call, member: members.Member) -> pool.Exchange:
        """Returns the exchange of a call for its answer."""
        mark = call_codec.encode_mark(call.policy, call.caller, call.chain)
        request = http.Request(
            call.method,
            call.path,
            (*call.headers, (own_headers.CHAIN, mark)),
            call.body,
        )
        allowed_ms = max(0.0, call.chain.get_remaining_ms()) + ANSWER_GRACE_MS
        return self._connections.send(
            member.call_address, request, timeout_ms=allowed_ms
        )

    def read(self, answer: http.Answer) -> outcomes.Outcome:
        """Returns the outcome that another daemon's answer tells."""
        self._take_gates(answer.headers)
        return outcome_codec.decode_outcome(
            answer.status, answer.headers, answer.body
        )

    def _take_gates(self, found: outcomes.Headers) -> None:
        text = http.find_header(found, own_headers.GATES)
        if text is not None:
            for gate in gate_codec.decode_gates(text, clock.get_now_ms()):
                self._board.put(gate)


class _Attempt:
    """A call at another daemon, cancelled when it is left early."""

    def __init__(
        self, link: SitePeerLink, call: calls.Call, member: members.Member
    ) -> None:
        self._link = link
        self._call = call
        self._member = member
        self._exchange: pool.Exchange | None = None

    async def __aenter__(self) -> outcomes.Outcome:
        """Sends the call and returns what became of it."""
        exchange = self._link.open(self._call, self._member)
        try:
            answer = await exchange.__aenter__()
        except transport_errors.ConnectError:
            return outcomes.NotRun(refusals.Unreachable(self._member.instance))
        except transport_errors.AnswerTimeoutError:
            return outcomes.Unknown(worker_link.DEADLINE_DETAIL)
        except transport_errors.TransportError as error:
            return outcomes.Unknown(f"connection to a daemon: {error}")
        self._exchange = exchange
        return self._link.read(answer)

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Gives the connection back."""
        if self._exchange is not None:
            self._exchange.close()


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

    async def handle(
        self, request: http.Request, responder: listener.Responder
    ) -> None:
        """Answers one request."""
        text = http.find_header(request.headers, own_headers.CHAIN) or ""
        match call_codec.decode_mark(text):
            case result.Success(mark):
                call = self._make_call(request, mark)
            case _:
                await responder.send(
                    http.Answer(STATUS_MALFORMED, (), call_body.EMPTY)
                )
                return
        async with self._path.serve(call) as outcome:
            answer = make_answer(outcome, self._make_gate_mark())
            if not call_body.is_buffered(answer.body):
                await responder.send(answer)
        if call_body.is_buffered(answer.body):
            await responder.send(answer)

    def _make_gate_mark(self) -> outcomes.Headers:
        now_ms = clock.get_now_ms()
        known = self._get_gates(now_ms)
        if not known:
            return ()
        return ((own_headers.GATES, gate_codec.encode_gates(known, now_ms)),)

    def _make_call(
        self, request: http.Request, mark: call_codec.CallMark
    ) -> calls.Call:
        return calls.Call(
            service=mark.service,
            method=request.method,
            path=request.target,
            headers=headers.keep_for_worker(request.headers),
            body=request.body,
            caller=mark.caller,
            request_key=None,
            policy=call_codec.make_policy(mark, self._max_body_bytes),
            chain=call_codec.make_chain(mark),
            received_ms=clock.get_now_ms(),
            request_id=http.find_header(request.headers, headers.REQUEST_ID)
            or "",
        )


def make_answer(
    outcome: outcomes.Outcome, more: outcomes.Headers = ()
) -> http.Answer:
    """Returns the answer that tells a daemon what became of its call."""
    marks = (*outcome_codec.encode_marks(outcome), *more)
    match outcome:
        case outcomes.Completed(status, found, body):
            return http.Answer(status, (*found, *marks), body)
        case outcomes.NotRun():
            return http.Answer(STATUS_NOT_RUN, marks, call_body.EMPTY)
        case outcomes.Failed() | outcomes.Unknown():
            return http.Answer(STATUS_UNKNOWN, marks, call_body.EMPTY)
