"""The outbound side: finds an instance for a call and sends it there."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses

from kumquatridge.callpath import hedging
from kumquatridge.callpath import inbound
from kumquatridge.callpath import links
from kumquatridge.callpath import retries
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.chain import ledger as chain_ledger
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.routing import choices
from kumquatridge.routing import chooser as routing
from kumquatridge.telemetry import recorder as telemetry

HEDGE_REASON = "hedge"


class OutboundPath:
    """Sends calls of outside callers and of the own worker."""

    def __init__(
        self,
        members_table: table.MemberTable,
        chooser: routing.InstanceChooser,
        own: inbound.InboundPath,
        peers: links.PeerLink,
        recorder: telemetry.Recorder,
    ) -> None:
        self._members = members_table
        self._chooser = chooser
        self._own = own
        self._peers = peers
        self._recorder = recorder

    @contextlib.asynccontextmanager
    async def dispatch(
        self, call: calls.Call
    ) -> AsyncIterator[outcomes.Outcome]:
        """Sends a call until an outcome stands or the allowance is spent."""
        account = chain_ledger.RetryAccount(call.chain.retries)
        tried: set[str] = set()
        last: outcomes.Outcome | None = None
        while True:
            choice = self._chooser.choose(call, tried)
            match choice:
                case choices.NoneLeft(refusal):
                    if last is None:
                        self._recorder.record_refusal(call, refusal)
                    yield last or outcomes.NotRun(refusal, account.left)
                    return
                case choices.Chosen(member):
                    tried.add(member.instance)
            granted = account.lend(account.left)
            async with self._open(call, member, granted, tried) as outcome:
                account.give_back(outcome.unspent_retries)
                match retries.judge(call, outcome):
                    case retries.TryAnother(reason) if account.lend(1) == 1:
                        self._recorder.record_retry(call, reason)
                        last = dataclasses.replace(
                            outcome, unspent_retries=account.left, report=None
                        )
                    case _:
                        yield dataclasses.replace(outcome, report=None)
                        return

    def _open(
        self,
        call: calls.Call,
        member: members.Member,
        granted: int,
        tried: set[str],
    ) -> hedging.Attempt:
        if (
            granted > 0
            and len(tried) == 1
            and call.policy.idempotent
            and call_body.is_resendable(call.body)
        ):
            delay_ms = self._chooser.get_hedge_delay_ms(call)
            if delay_ms is not None:
                return self._send_hedged(call, member, granted, tried, delay_ms)
        return self._send(call, member, granted)

    @contextlib.asynccontextmanager
    async def _send_hedged(
        self,
        call: calls.Call,
        member: members.Member,
        granted: int,
        tried: set[str],
        delay_ms: float,
    ) -> AsyncIterator[outcomes.Outcome]:
        def make_second() -> hedging.Attempt | None:
            if not self._chooser.take_hedge_credit():
                return None
            match self._chooser.choose(call, tried):
                case choices.Chosen(other):
                    tried.add(other.instance)
                    self._recorder.record_retry(call, HEDGE_REASON)
                    return self._send(call, other, granted=0)
                case choices.NoneLeft():
                    return None

        kept = 1
        first = self._send(call, member, granted - kept)
        async with hedging.Hedge(first, make_second, delay_ms) as hedge:
            outcome = hedge.outcome
            if not hedge.is_second_made:
                outcome = dataclasses.replace(
                    outcome, unspent_retries=outcome.unspent_retries + kept
                )
            yield outcome

    @contextlib.asynccontextmanager
    async def _send(
        self, call: calls.Call, member: members.Member, granted: int
    ) -> AsyncIterator[outcomes.Outcome]:
        sent = dataclasses.replace(
            call, chain=dataclasses.replace(call.chain, retries=granted)
        )
        with self._chooser.track(call, member.instance) as record:
            if member.instance == self._members.own.instance:
                attempt: hedging.Attempt = self._own.serve(sent)
            else:
                attempt = self._peers.send(sent, member)
            async with attempt as outcome:
                record.finish(outcome)
                yield outcome
