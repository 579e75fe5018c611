"""The client for calls to the daemons of other instances."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import math

import aiohttp
import multidict

from kumquatridge import clock
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.encoding import chain_codec
from kumquatridge.encoding import outcome_codec
from kumquatridge.http import call_credential
from kumquatridge.http import client
from kumquatridge.http import headers
from kumquatridge.membership import member as members


class HttpPeerLink:
    """Sends calls to other daemons over HTTP."""

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
        """Sends a call to a daemon; see `callpath.links.PeerLink`."""
        return self._send(call, member, self._make_daemon_headers(call))

    def send_to_home(
        self, call: calls.Call, member: members.Member
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call, with the age of its idempotency key, to the key's home.

        See `idempotency.home_registry`.
        """
        daemon_headers = (
            *self._make_daemon_headers(call),
            (headers.HOME, headers.TRUE),
        )
        if call.key_age_ms is not None:
            # `key_age_ms` is the age when the call was received.
            elapsed_ms = math.ceil(clock.get_now_ms() - call.received_ms)
            age_ms = call.key_age_ms + elapsed_ms
            daemon_headers = (*daemon_headers, (headers.KEY_AGE, str(age_ms)))
        return self._send(call, member, daemon_headers)

    @contextlib.asynccontextmanager
    async def _send(
        self,
        call: calls.Call,
        member: members.Member,
        daemon_headers: outcomes.Headers,
    ) -> AsyncIterator[outcomes.Outcome]:
        sent_headers = (*call.headers, *daemon_headers)
        target = f"/{call.service}{call.path}"
        auth_tag = self._credential.make_auth_tag(
            call.method, target, multidict.CIMultiDict(sent_headers)
        )
        async with client.send(
            self._session,
            call,
            f"http://{member.call_address}{target}",
            (*sent_headers, (headers.PEER_PROOF, auth_tag)),
            member.instance,
        ) as result:
            match result:
                case client.Answer():
                    yield _read_outcome(result)
                case outcomes.NotRun(refusal):
                    # No retries were spent on a call that was not run.
                    yield outcomes.NotRun(refusal, call.chain.retry_allowance)
                case outcomes.Unknown(detail, timed_out=timed_out):
                    # `worker_lost` is dropped: it is the connection to a daemon
                    # that was lost, not the one to its worker.
                    yield outcomes.Unknown(detail, timed_out=timed_out)

    def _make_daemon_headers(self, call: calls.Call) -> outcomes.Headers:
        return (
            (headers.CHAIN, chain_codec.encode_chain(call.chain)),
            (headers.CALLER, call.caller),
        )


def _read_outcome(answer: client.Answer) -> outcomes.Outcome:
    pairs = answer.response.headers.items()
    outcome = outcome_codec.decode_outcome(
        answer.response.status,
        tuple((name.lower(), value) for name, value in pairs),
        answer.body,
    )
    match outcome:
        case outcomes.Completed(headers=answer_headers):
            end_to_end = headers.keep_end_to_end(answer_headers)
            return dataclasses.replace(outcome, headers=end_to_end)
        case _:
            return outcome
