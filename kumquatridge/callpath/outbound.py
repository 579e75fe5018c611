"""The outbound side: finds an instance for a call and sends it there."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses

from kumquatridge.callpath import inbound
from kumquatridge.callpath import links
from kumquatridge.callpath import retries
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.chain import ledger as chain_ledger
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.routing import choices
from kumquatridge.routing import chooser as routing
from kumquatridge.telemetry import recorder as telemetry


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
                    yield last or outcomes.NotRun(refusal, account.left)
                    return
                case choices.Chosen(member):
                    tried.add(member.instance)
            granted = account.lend(account.left)
            async with self._send(call, member, granted) as outcome:
                account.give_back(outcome.unspent_retries)
                match retries.judge(call, outcome):
                    case retries.TryAnother(reason) if account.lend(1) == 1:
                        self._recorder.record_retry(call, reason)
                        last = dataclasses.replace(
                            outcome, unspent_retries=account.left
                        )
                    case _:
                        yield outcome
                        return

    @contextlib.asynccontextmanager
    async def _send(
        self, call: calls.Call, member: members.Member, granted: int
    ) -> AsyncIterator[outcomes.Outcome]:
        sent = dataclasses.replace(
            call, chain=dataclasses.replace(call.chain, retries=granted)
        )
        with self._chooser.track(member.instance):
            if member.instance == self._members.own.instance:
                async with self._own.serve(sent) as outcome:
                    yield outcome
            else:
                async with self._peers.send(sent, member) as outcome:
                    yield outcome
