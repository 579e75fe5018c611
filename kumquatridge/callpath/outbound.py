"""The outbound side: finds an instance for a call and sends it there."""

from collections.abc import AsyncIterator, Set
import contextlib
import dataclasses

from kumquatridge import scopes
from kumquatridge.admission import gates
from kumquatridge.callpath import hedging
from kumquatridge.callpath import links
from kumquatridge.callpath import retries
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.chain import retry_allowance as allowances
from kumquatridge.chain import retry_budget
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

    `is_hedging_enabled` lets a second instance be asked too when the first is
    late. With `max_free_refusals` > 0, that many refusals by daemons cost no
    retry, since they reached no worker. With `forwards_retry_allowance`, part
    of the retry allowance travels with the call, for the calls that it causes.
    """

    is_hedging_enabled: bool = True
    max_free_refusals: int = 0
    forwards_retry_allowance: bool = True


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
        retry_budgets: retry_budget.RetryBudgets,
        settings: OutboundSettings | None = None,
        gate_table: gates.GateTable | None = None,
    ) -> None:
        self._members = members_table
        self._chooser = chooser
        self._own = own
        self._peers = peers
        self._recorder = recorder
        self._retry_budgets = retry_budgets
        self._settings = settings or OutboundSettings()
        self._gate_table = gate_table or gates.GateTable(gates.GateSettings())

    def dispatch(
        self, call: calls.Call, excluded: Set[str] = frozenset()
    ) -> "_Dispatch":
        """Sends a call until an outcome stands or the allowance is spent.

        Instances in `excluded` have refused the call already.
        """
        return _Dispatch(self, call, excluded)

    def find_refusal(self, call: calls.Call) -> refusals.Refusal | None:
        """Returns why a root is not let in, None when it is."""
        return self._gate_table.find_refusal(
            call, self._members.count_instances
        )

    def choose_first(self, call: calls.Call, tried: Set[str]) -> choices.Choice:
        """Counts a first try and returns where it goes."""
        budget = self._retry_budgets.get(call.service)
        budget.record_first_attempt()
        if call.chain.is_retry:
            budget.record_retry()
        return self._chooser.choose(call, tried)

    def refuse(
        self, call: calls.Call, refusal: refusals.Refusal, unspent_retries: int
    ) -> outcomes.Outcome:
        """Returns the outcome of a call that goes nowhere."""
        self._recorder.record_refusal(call, refusal)
        return outcomes.NotRun(refusal, unspent_retries)

    def is_free(self, outcome: outcomes.Outcome, refused: int) -> bool:
        """Tells whether a refusal, the `refused`th, costs no retry."""
        return (
            _is_daemons(outcome) and refused <= self._settings.max_free_refusals
        )

    def choose_next(
        self,
        call: calls.Call,
        outcome: outcomes.Outcome,
        tried: set[str],
        allowance: allowances.RetryAllowance,
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
        if allowance.remaining == 0:
            self._recorder.record_retry_denied(call, ALLOWANCE_SPENT)
            return None
        if not self._retry_budgets.get(call.service).try_acquire():
            self._recorder.record_retry_denied(call, RATIO_EXCEEDED)
            return None
        allowance.try_consume()
        self._recorder.record_retry(call, reason)
        return chosen

    def open(
        self,
        call: calls.Call,
        member: members.Member,
        allowance: allowances.RetryAllowance,
        tried: set[str],
    ) -> hedging.Attempt:
        """Returns an attempt at an instance, hedged where that may help."""
        if (
            self._settings.is_hedging_enabled
            and allowance.remaining > 0
            and len(tried) == 1
            and call.policy.idempotent
            and call_body.is_resendable(call.body)
        ):
            delay_ms = self._chooser.get_hedge_delay_ms(call)
            if delay_ms is not None:
                return self._send_hedged(
                    call, member, allowance, tried, delay_ms
                )
        return self._send(call, member, allowance)

    @contextlib.asynccontextmanager
    async def _send_hedged(
        self,
        call: calls.Call,
        member: members.Member,
        allowance: allowances.RetryAllowance,
        tried: set[str],
        delay_ms: float,
    ) -> AsyncIterator[outcomes.Outcome]:
        def make_second() -> hedging.Attempt | None:
            if allowance.remaining == 0:
                return None
            other = self._chooser.choose_hedge(call, tried)
            if other is None:
                return None
            tried.add(other.instance)
            allowance.try_consume()
            self._recorder.record_retry(call, HEDGE_REASON)
            return self._send(call, other, allowance)

        first = self._send(call, member, allowance)
        async with hedging.Hedge(first, make_second, delay_ms) as hedge:
            yield hedge.outcome

    def _lend(
        self, call: calls.Call, allowance: allowances.RetryAllowance
    ) -> tuple[int, calls.Call]:
        """Takes half of the allowance along, if calls share one."""
        if not self._settings.forwards_retry_allowance:
            return 0, call
        granted = allowance.reserve(allowance.remaining // 2)
        chain = dataclasses.replace(call.chain, retry_allowance=granted)
        return granted, dataclasses.replace(call, chain=chain)

    def _send(
        self,
        call: calls.Call,
        member: members.Member,
        allowance: allowances.RetryAllowance,
    ) -> "_Attempt":
        """Sends one attempt with at most half of the allowance.

        The other half stays here: the share of an attempt whose answer is
        lost can't come back.
        """
        granted, sent = self._lend(call, allowance)
        track = self._chooser.track(call, member.instance)
        return _Attempt(self, sent, member, track, _Loan(allowance, granted))

    def start(
        self, call: calls.Call, member: members.Member
    ) -> hedging.Attempt:
        """Starts a call at the own worker or at another instance's."""
        if member.instance == self._members.own.instance:
            return self._own.serve(call)
        return self._peers.send(call, member)

    def note(
        self,
        call: calls.Call,
        member: members.Member,
        outcome: outcomes.Outcome,
    ) -> None:
        """Records an attempt that came to no good end."""
        if not _is_good(outcome):
            self._recorder.record_attempt(
                call,
                lambda: self._chooser.describe(call, member.instance),
                outcome,
            )


@dataclasses.dataclass(frozen=True, slots=True)
class _Loan:
    """The part of an allowance that travels with an attempt."""

    allowance: allowances.RetryAllowance
    granted: int

    def give_back(self, outcome: outcomes.Outcome) -> None:
        """Puts back what the attempt did not spend."""
        self.allowance.release(min(self.granted, outcome.unspent_retries))


class _Attempt(scopes.Scope[outcomes.Outcome]):
    """One attempt at an instance, counted as in flight while it is open."""

    def __init__(
        self,
        path: OutboundPath,
        call: calls.Call,
        member: members.Member,
        track: routing.Track,
        loan: _Loan,
    ) -> None:
        self._path = path
        self._call = call
        self._member = member
        self._track = track
        self._loan = loan
        self._held: hedging.Attempt | None = None

    async def _open(self) -> outcomes.Outcome:
        record = self._track.__enter__()
        held = self._path.start(self._call, self._member)
        outcome = await held.__aenter__()
        self._held = held
        record.finish(outcome)
        self._path.note(self._call, self._member, outcome)
        self._loan.give_back(outcome)
        return outcome

    async def _close(self, error: BaseException | None) -> None:
        held, self._held = self._held, None
        try:
            if held is not None:
                await scopes.leave(held, error)
        finally:
            self._track.close()


class _Dispatch(scopes.Scope[outcomes.Outcome]):
    """A call sent from instance to instance until an outcome stands."""

    def __init__(
        self, path: OutboundPath, call: calls.Call, excluded: Set[str]
    ) -> None:
        self._path = path
        self._call = call
        self._tried = set(excluded)
        self._allowance = allowances.RetryAllowance(call.chain.retry_allowance)
        self._held: hedging.Attempt | None = None

    async def _open(self) -> outcomes.Outcome:
        path, call = self._path, self._call
        closed = path.find_refusal(call)
        if closed is not None:
            return path.refuse(call, closed, call.chain.retry_allowance)
        choice: choices.Choice | None = path.choose_first(call, self._tried)
        may_have_run = False
        refused = 0
        while True:
            match choice:
                case choices.Chosen(member):
                    outcome = await self._try(call, member)
                case choices.NoneLeft(refusal):
                    return path.refuse(call, refusal, self._allowance.close())
            refused += _is_daemons(outcome)
            choice = path.choose_next(
                call,
                outcome,
                self._tried,
                self._allowance,
                path.is_free(outcome, refused),
            )
            if choice is None:
                answer = _hide_refusal(outcome) if may_have_run else outcome
                return _settle(answer, self._allowance.close())
            await self._close(None)
            may_have_run = may_have_run or not _is_refusal(outcome)
            if not _is_daemons(outcome):
                call = _mark_repeat(call)

    async def _try(
        self, call: calls.Call, member: members.Member
    ) -> outcomes.Outcome:
        self._tried.add(member.instance)
        attempt = self._path.open(call, member, self._allowance, self._tried)
        outcome = await attempt.__aenter__()
        self._held = attempt
        return outcome

    async def _close(self, error: BaseException | None) -> None:
        held, self._held = self._held, None
        if held is not None:
            await scopes.leave(held, error)


def _settle(
    outcome: outcomes.Outcome, unspent_retries: int
) -> outcomes.Outcome:
    """Returns the outcome with what is left of the allowance."""
    match outcome:
        case outcomes.Completed(status, headers, body):
            return outcomes.Completed(
                status,
                headers,
                body,
                unspent_retries,
                None,
                outcome.is_worker_shed,
                outcome.child_failed,
            )
        case outcomes.NotRun(refusal):
            return outcomes.NotRun(refusal, unspent_retries)
        case outcomes.Failed() | outcomes.Unknown():
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
    if call.chain.is_retry:
        return call
    chain = dataclasses.replace(call.chain, is_retry=True)
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
