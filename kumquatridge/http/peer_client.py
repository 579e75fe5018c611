"""The leg from a daemon to the daemon of another instance."""

from collections.abc import AsyncIterator
import contextlib
import math

import aiohttp
import multidict
from returns import result

from kumquatridge import clock
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.encoding import chain_codec
from kumquatridge.encoding import refusal_codec
from kumquatridge.encoding import report_codec
from kumquatridge.http import call_credential
from kumquatridge.http import client
from kumquatridge.http import headers
from kumquatridge.membership import member as members


class HttpPeerLink:
    """Carries calls to other daemons over HTTP."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        credential: call_credential.CallCredential,
    ) -> None:
        self._session = session
        self._credential = credential

    def send(
        self, call: calls.Call, member: members.Member
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call; see `callpath.links.PeerLink`."""
        return self._send(call, member, self._make_marks(call))

    def send_home(
        self, call: calls.Call, member: members.Member
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call to its home; see `callpath.links.PeerLink`."""
        marks = (*self._make_marks(call), (headers.HOME, headers.TRUE))
        if call.key_age_ms is not None:
            held_ms = math.ceil(clock.get_now_ms() - call.received_ms)
            age_ms = call.key_age_ms + held_ms
            marks = (*marks, (headers.KEY_AGE, str(age_ms)))
        return self._send(call, member, marks)

    @contextlib.asynccontextmanager
    async def _send(
        self, call: calls.Call, member: members.Member, marks: outcomes.Headers
    ) -> AsyncIterator[outcomes.Outcome]:
        sent = (*call.headers, *marks)
        target = f"/{call.service}{call.path}"
        proof = self._credential.make_mark(
            call.method, target, multidict.CIMultiDict(sent)
        )
        async with client.send(
            self._session,
            call,
            f"http://{member.call_address}{target}",
            (*sent, (headers.PEER_PROOF, proof)),
            member.instance,
        ) as reply:
            match reply:
                case client.Answer():
                    yield read_outcome(reply)
                case outcomes.NotRun(refusal):
                    yield outcomes.NotRun(refusal, call.chain.retries)
                case outcomes.Unknown(detail):
                    yield outcomes.Unknown(detail)

    def _make_marks(self, call: calls.Call) -> outcomes.Headers:
        return (
            (headers.CHAIN, chain_codec.encode_chain(call.chain)),
            (headers.CALLER, call.caller),
        )


def read_outcome(answer: client.Answer) -> outcomes.Outcome:
    """Returns the outcome that a daemon marked on its answer."""
    marks = answer.response.headers
    unspent_retries = _read_count(marks.get(headers.UNSPENT_RETRIES, "0"))
    report = report_codec.decode_report(marks.get(headers.REPORT, ""))
    match marks.get(headers.OUTCOME):
        case headers.OUTCOME_COMPLETED:
            return outcomes.Completed(
                answer.response.status,
                headers.keep_end_to_end(marks.items()),
                answer.body,
                unspent_retries,
                report,
                shed=headers.WORKER_SHED in marks,
                child_failed=headers.CHILD_FAILED in marks,
            )
        case headers.OUTCOME_NOT_RUN:
            decoded = refusal_codec.decode_refusal(
                marks.get(headers.REASON, ""), marks.get(headers.REFUSAL, "")
            )
            match decoded:
                case result.Success(refusal):
                    return outcomes.NotRun(refusal, unspent_retries, report)
                case result.Failure(fault):
                    detail = f"refused without a known reason: {fault}"
                    return outcomes.Unknown(detail, unspent_retries)
        case headers.OUTCOME_FAILED:
            return outcomes.Failed(
                marks.get(headers.DETAIL, ""), unspent_retries, report
            )
    return outcomes.Unknown(
        marks.get(headers.DETAIL, "no outcome marked"),
        unspent_retries,
        worker_lost=headers.WORKER_LOST in marks,
    )


def _read_count(text: str) -> int:
    return int(text) if text.isascii() and text.isdigit() else 0
