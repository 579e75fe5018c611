"""The outbound side: finds an instance for a call and sends it there."""

from collections.abc import AsyncIterator, Set
import contextlib
import dataclasses

from kumquatridge.admission import gates
from kumquatridge.callpath import hedging
from kumquatridge.callpath import links
from kumquatridge.callpath import retries
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.chain import account as chain_account
from kumquatridge.chain import ratio as retry_ratio
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.routing import choices
from kumquatridge.routing import chooser as routing
from kumquatridge.telemetry import recorder as telemetry

FIRST_ERROR_STATUS = 500
HEDGE_REASON = "hedge"
ALLOWANCE_SPENT = "allowance_spent"
RATIO_EXCEEDED = "ratio_exceeded"


@dataclasses.dataclass(frozen=True, slots=True)
class OutboundSettings:
    """How far a call may be sent on.

    `hedges` lets a second instance be asked too when the first is late. With
    `free_refusals` > 0, that many refusals by daemons cost no retry, since
    they reached no worker. With `lends`, part of the retry allowance travels
    with the call, for the calls that it causes.
    """

    hedges: bool = True
    free_refusals: int = 0
    lends: bool = True


class OutboundPath:
    """Sends calls of outside callers and of the own worker."""

    def __init__(
        self,
        members_table: table.MemberTable,
        chooser: routing.InstanceChooser,
        own: links.Server,
        peers: links.PeerLink,
        recorder: telemetry.Recorder,
        *,
        ratios: retry_ratio.RetryRatios,
        settings: OutboundSettings | None = None,
        board: gates.GateBoard | None = None,
    ) -> None:
        self._members = members_table
        self._chooser = chooser
        self._own = own
        self._peers = peers
        self._recorder = recorder
        self._ratios = ratios
        self._settings = settings or OutboundSettings()
        self._board = board or gates.GateBoard(gates.GateSettings())

    @contextlib.asynccontextmanager
    async def dispatch(
        self, call: calls.Call, excluded: Set[str] = frozenset()
    ) -> AsyncIterator[outcomes.Outcome]:
        """Sends a call until an outcome stands or the allowance is spent.

        Instances in `excluded` have refused the call already.
        """
        closed = self._board.find_closed(call, self._members.count_instances)
        if closed is not None:
            self._recorder.record_refusal(call, closed)
            yield outcomes.NotRun(closed, call.chain.retries)
            return
        account = chain_account.RetryAccount(call.chain.retries)
        ratio = self._ratios.get(call.service)
        ratio.record_first_try()
        if call.chain.is_repeat:
            ratio.note_retry()
        tried = set(excluded)
        may_have_run = False
        refused = 0
        choice: choices.Choice | None = self._chooser.choose(call, tried)
        while choice is not None:
            match choice:
                case choices.NoneLeft(refusal):
                    self._recorder.record_refusal(call, refusal)
                    yield outcomes.NotRun(refusal, account.settle())
                    return
                case choices.Chosen(member):
                    tried.add(member.instance)
            async with self._open(call, member, account, tried) as outcome:
                refused += _is_daemons(outcome)
                is_free = _is_daemons(outcome) and (
                    refused <= self._settings.free_refusals
                )
                choice = self._choose_next(
                    call, outcome, tried, account, is_free
                )
                if choice is None:
                    answer = _hide_refusal(outcome) if may_have_run else outcome
                    yield _settle(answer, account.settle())
            may_have_run = may_have_run or not _is_refusal(outcome)
            if choice is not None and not _is_daemons(outcome):
                call = _mark_repeat(call)

    def _choose_next(
        self,
        call: calls.Call,
        outcome: outcomes.Outcome,
        tried: set[str],
        account: chain_account.RetryAccount,
        is_free: bool,
    ) -> choices.Chosen | None:
        """Returns where to try again, having paid for it, or None."""
        match retries.judge(call, outcome):
            case retries.Accept():
                return None
            case retries.TryAnother(reason):
                pass
        if call.chain.get_remaining_ms() <= 0:
            return None
        match self._chooser.choose(call, tried):
            case choices.NoneLeft():
                return None
            case choices.Chosen() as chosen:
                pass
        if is_free:
            self._recorder.record_retry(call, reason)
            return chosen
        if account.left == 0:
            self._recorder.record_retry_denied(call, ALLOWANCE_SPENT)
            return None
        if not self._ratios.get(call.service).take_retry():
            self._recorder.record_retry_denied(call, RATIO_EXCEEDED)
            return None
        account.spend()
        self._recorder.record_retry(call, reason)
        return chosen

    def _open(
        self,
        call: calls.Call,
        member: members.Member,
        account: chain_account.RetryAccount,
        tried: set[str],
    ) -> hedging.Attempt:
        if (
            self._settings.hedges
            and account.left > 0
            and len(tried) == 1
            and call.policy.idempotent
            and call_body.is_resendable(call.body)
        ):
            delay_ms = self._chooser.get_hedge_delay_ms(call)
            if delay_ms is not None:
                return self._send_hedged(call, member, account, tried, delay_ms)
        return self._send(call, member, account)

    @contextlib.asynccontextmanager
    async def _send_hedged(
        self,
        call: calls.Call,
        member: members.Member,
        account: chain_account.RetryAccount,
        tried: set[str],
        delay_ms: float,
    ) -> AsyncIterator[outcomes.Outcome]:
        def make_second() -> hedging.Attempt | None:
            if account.left == 0:
                return None
            other = self._chooser.choose_hedge(call, tried)
            if other is None:
                return None
            tried.add(other.instance)
            account.spend()
            self._recorder.record_retry(call, HEDGE_REASON)
            return self._send(call, other, account)

        first = self._send(call, member, account)
        async with hedging.Hedge(first, make_second, delay_ms) as hedge:
            yield hedge.outcome

    def _lend(
        self, call: calls.Call, account: chain_account.RetryAccount
    ) -> tuple[int, calls.Call]:
        """Takes half of the allowance along, if calls share one."""
        if not self._settings.lends:
            return 0, call
        granted = account.lend(account.left // 2)
        chain = dataclasses.replace(call.chain, retries=granted)
        return granted, dataclasses.replace(call, chain=chain)

    @contextlib.asynccontextmanager
    async def _send(
        self,
        call: calls.Call,
        member: members.Member,
        account: chain_account.RetryAccount,
    ) -> AsyncIterator[outcomes.Outcome]:
        """Sends one attempt with at most half of the allowance.

        The other half stays here: the share of an attempt whose answer is
        lost can't come back.
        """
        granted, sent = self._lend(call, account)
        with self._chooser.track(call, member.instance) as record:
            if member.instance == self._members.own.instance:
                attempt: hedging.Attempt = self._own.serve(sent)
            else:
                attempt = self._peers.send(sent, member)
            async with attempt as outcome:
                record.finish(outcome)
                if not _is_good(outcome):
                    place = self._chooser.describe(call, member.instance)
                    self._recorder.record_attempt(call, place, outcome)
                account.give_back(min(granted, outcome.unspent_retries))
                yield outcome


def _settle(
    outcome: outcomes.Outcome, unspent_retries: int
) -> outcomes.Outcome:
    """Returns the outcome with what is left of the allowance."""
    if outcome.unspent_retries == unspent_retries and outcome.report is None:
        return outcome
    return dataclasses.replace(
        outcome, unspent_retries=unspent_retries, report=None
    )


def _is_good(outcome: outcomes.Outcome) -> bool:
    """Tells whether a worker answered, and not with a failure."""
    match outcome:
        case outcomes.Completed(status):
            return status < FIRST_ERROR_STATUS
        case _:
            return False


def _is_refusal(outcome: outcomes.Outcome) -> bool:
    """Tells whether an attempt surely ran nothing."""
    match outcome:
        case outcomes.NotRun():
            return True
        case _:
            return False


def _is_daemons(outcome: outcomes.Outcome) -> bool:
    """Tells whether a daemon refused, before any worker was reached."""
    match outcome:
        case outcomes.NotRun(refusals.WorkerRefused()):
            return False
        case outcomes.NotRun():
            return True
        case _:
            return False


def _mark_repeat(call: calls.Call) -> calls.Call:
    """Returns the call as one whose own calls are repeats too."""
    if call.chain.is_repeat:
        return call
    chain = dataclasses.replace(call.chain, is_repeat=True)
    return dataclasses.replace(call, chain=chain)


def _hide_refusal(outcome: outcomes.Outcome) -> outcomes.Outcome:
    """Takes back that nothing ran, when an earlier attempt may have."""
    match outcome:
        case outcomes.NotRun(refusal):
            return outcomes.Unknown(
                f"an earlier attempt may have run; the last: {refusal.code}"
            )
        case _:
            return outcome
