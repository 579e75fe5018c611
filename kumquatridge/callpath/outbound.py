"""Outbound path: chooses an instance for a call and sends it there."""

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

FIRST_SERVER_ERROR_STATUS = 500
# Reasons that label the metrics of retries and of denied retries.
HEDGE_REASON = "hedge"
ALLOWANCE_SPENT = "allowance_spent"
RATIO_EXCEEDED = "ratio_exceeded"


@dataclasses.dataclass(frozen=True, slots=True)
class OutboundSettings:
    """Limits of the attempts at one call.

    `is_hedging_enabled` allows a hedge at a second instance when the first is
    slow. Up to `max_free_refusals` refusals by daemons cost no retry, since no
    worker was reached. With `forwards_retry_allowance`, part of the retry
    allowance travels with the call, for its child calls.
    """

    is_hedging_enabled: bool = True
    max_free_refusals: int = 0
    forwards_retry_allowance: bool = True


class OutboundPath:
    """Sends calls of callers and of the local worker to instances.

    Without `retry_budgets`, the called instances decide whether the retry
    budget of their service permits a retry (see `admission.offers`).
    """

    def __init__(
        self,
        members_table: table.MemberTable,
        chooser: routing.InstanceChooser,
        local_server: links.CallServer,
        peers: links.PeerLink,
        recorder: telemetry.Recorder,
        *,
        retry_budgets: retry_budget.RetryBudgets | None,
        settings: OutboundSettings | None = None,
        gate_table: gates.GateTable | None = None,
    ) -> None:
        self._members = members_table
        self._chooser = chooser
        self._local_server = local_server
        self._peers = peers
        self._recorder = recorder
        self._retry_budgets = retry_budgets
        self._settings = settings or OutboundSettings()
        self._gate_table = gate_table or gates.GateTable(gates.GateSettings())

    def dispatch(
        self, call: calls.Call, excluded: Set[str] = frozenset()
    ) -> "_Dispatch":
        """Sends a call until an outcome is final or no retry is left.

        Instances in `excluded` have refused the call already.
        """
        return _Dispatch(self, call, excluded)

    def find_refusal(self, call: calls.Call) -> refusals.Refusal | None:
        """Returns the refusal of a root by a gate, None when admitted.

        Gates refuse roots on behalf of overloaded services (`admission.gates`).
        """
        return self._gate_table.find_refusal(
            call, self._members.count_instances
        )

    def choose_first(self, call: calls.Call, tried: Set[str]) -> choices.Choice:
        """Chooses the instance of the first attempt, if there is one.

        The retry budget of the service counts the attempt, and counts it as a
        retry as well if the call or one of its ancestors was already sent as a
        retry. `tried` has the instances that must not be chosen.
        """
        if self._retry_budgets is not None:
            budget = self._retry_budgets.get(call.service)
            budget.record_first_attempt()
            if call.chain.is_retry:
                budget.record_retry()
        return self._chooser.choose(call, tried)

    def refuse(
        self, call: calls.Call, refusal: refusals.Refusal, unspent_retries: int
    ) -> outcomes.Outcome:
        """Records a refusal and returns it as an outcome."""
        self._recorder.record_refusal(call, refusal)
        return outcomes.NotRun(refusal, unspent_retries)

    def is_free_refusal(
        self, outcome: outcomes.Outcome, refusal_count: int
    ) -> bool:
        """Tells whether an outcome is a refusal that costs no retry.

        `refusal_count` is the number of refusals by daemons so far, this one
        included.
        """
        return (
            _is_daemon_refusal(outcome)
            and refusal_count <= self._settings.max_free_refusals
        )

    def choose_retry(
        self,
        call: calls.Call,
        outcome: outcomes.Outcome,
        tried: set[str],
        allowance: allowances.RetryAllowance,
        is_free_refusal: bool,
    ) -> choices.Chosen | None:
        """Chooses the instance of a retry and charges the retry.

        The retry is charged to the allowance of the call and to the retry
        budget of the service, after a free refusal to neither. `tried` has the
        instances of earlier attempts, which are not chosen again.

        Returns None when the outcome is final, the deadline has passed, no
        instance is left, or the retry allowance or the retry budget is used up.
        """
        match retries.classify_outcome(call, outcome):
            case retries.AcceptOutcome():
                return None
            case retries.RetryOtherInstance(reason):
                pass
        if call.chain.get_remaining_ms() <= 0:
            return None
        match self._chooser.choose(call, tried):
            case choices.NoneAvailable():
                return None
            case choices.Chosen() as chosen:
                pass
        if is_free_refusal:
            self._recorder.record_retry(call, reason)
            return chosen
        if allowance.remaining == 0:
            self._recorder.record_retry_denied(call, ALLOWANCE_SPENT)
            return None
        if not self._try_acquire_retry(call.service):
            self._recorder.record_retry_denied(call, RATIO_EXCEEDED)
            return None
        allowance.try_consume()
        self._recorder.record_retry(call, reason)
        return chosen

    def _try_acquire_retry(self, service: str) -> bool:
        """Charges a retry to the budget of a service, if it is held here."""
        if self._retry_budgets is None:
            return True
        return self._retry_budgets.get(service).try_acquire()

    def make_attempt(
        self,
        call: calls.Call,
        member: members.Member,
        allowance: allowances.RetryAllowance,
        tried: set[str],
    ) -> hedging.Attempt:
        """Returns an attempt at an instance.

        `tried` already contains the instance. Only the first attempt at an
        idempotent call with a resendable body is hedged; a hedge adds its
        instance to `tried`.
        """
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
        return self._make_single_attempt(call, member, allowance)

    @contextlib.asynccontextmanager
    async def _send_hedged(
        self,
        call: calls.Call,
        member: members.Member,
        allowance: allowances.RetryAllowance,
        tried: set[str],
        delay_ms: float,
    ) -> AsyncIterator[outcomes.Outcome]:
        def make_hedge() -> hedging.Attempt | None:
            if allowance.remaining == 0:
                return None
            hedge_member = self._chooser.choose_hedge(call, tried)
            if hedge_member is None:
                return None
            tried.add(hedge_member.instance)
            allowance.try_consume()
            self._recorder.record_retry(call, HEDGE_REASON)
            return self._make_single_attempt(call, hedge_member, allowance)

        primary = self._make_single_attempt(call, member, allowance)
        async with hedging.HedgedRequest(
            primary, make_hedge, delay_ms
        ) as hedged_request:
            yield hedged_request.outcome

    def _reserve_allowance(
        self, call: calls.Call, allowance: allowances.RetryAllowance
    ) -> tuple[int, calls.Call]:
        """Moves half of the retry allowance to an attempt, rounded down.

        Returns the number of retries moved and the call that carries them. If
        retry allowances are not forwarded, returns 0 and the unchanged call.
        """
        if not self._settings.forwards_retry_allowance:
            return 0, call
        granted = allowance.reserve(allowance.remaining // 2)
        chain = dataclasses.replace(call.chain, retry_allowance=granted)
        return granted, dataclasses.replace(call, chain=chain)

    def _make_single_attempt(
        self,
        call: calls.Call,
        member: members.Member,
        allowance: allowances.RetryAllowance,
    ) -> "_Attempt":
        """Returns an attempt that carries at most half of the retry allowance.

        The call is sent when the attempt is entered. The other half stays here,
        since the share of an attempt whose answer is lost can't be recovered.
        """
        granted, attempt_call = self._reserve_allowance(call, allowance)
        tracker = self._chooser.track(call, member.instance)
        return _Attempt(
            self,
            attempt_call,
            member,
            tracker,
            _AllowanceShare(allowance, granted),
        )

    def send_to_member(
        self, call: calls.Call, member: members.Member
    ) -> hedging.Attempt:
        """Sends a call to the local worker, or to the instance of a member."""
        if member.instance == self._members.own.instance:
            return self._local_server.serve(call)
        return self._peers.send(call, member)

    def record_failed_attempt(
        self,
        call: calls.Call,
        member: members.Member,
        outcome: outcomes.Outcome,
    ) -> None:
        """Records an attempt unless a worker answered it without an error."""
        if not _is_success(outcome):
            self._recorder.record_failed_attempt(
                call,
                lambda: self._chooser.describe(call, member.instance),
                outcome,
            )


@dataclasses.dataclass(frozen=True, slots=True)
class _AllowanceShare:
    """The part of a retry allowance that travels with an attempt.

    `allowance` is that of the call, from which `granted` retries were taken.
    """

    allowance: allowances.RetryAllowance
    granted: int

    def release_unspent(self, outcome: outcomes.Outcome) -> None:
        """Releases the retries that the attempt did not spend."""
        self.allowance.release(min(self.granted, outcome.unspent_retries))


class _Attempt(scopes.Scope[outcomes.Outcome]):
    """One attempt at an instance, in progress while it is open."""

    def __init__(
        self,
        path: OutboundPath,
        call: calls.Call,
        member: members.Member,
        tracker: routing.CallTracker,
        share: _AllowanceShare,
    ) -> None:
        self._path = path
        self._call = call
        self._member = member
        self._tracker = tracker
        self._share = share
        self._send_scope: hedging.Attempt | None = None

    async def _open(self) -> outcomes.Outcome:
        record = self._tracker.__enter__()
        send_scope = self._path.send_to_member(self._call, self._member)
        outcome = await send_scope.__aenter__()
        self._send_scope = send_scope
        record.finish(outcome)
        self._path.record_failed_attempt(self._call, self._member, outcome)
        self._share.release_unspent(outcome)
        return outcome

    async def _close(self, error: BaseException | None) -> None:
        send_scope, self._send_scope = self._send_scope, None
        try:
            if send_scope is not None:
                await scopes.exit_context(send_scope, error)
        finally:
            self._tracker.close()


class _Dispatch(scopes.Scope[outcomes.Outcome]):
    """A call that is sent to one instance after another.

    It ends when an outcome is final or no further attempt is possible.
    """

    def __init__(
        self, path: OutboundPath, call: calls.Call, excluded: Set[str]
    ) -> None:
        self._path = path
        self._call = call
        self._tried = set(excluded)
        self._allowance = allowances.RetryAllowance(call.chain.retry_allowance)
        self._attempt: hedging.Attempt | None = None

    async def _open(self) -> outcomes.Outcome:
        path, call = self._path, self._call
        gate_refusal = path.find_refusal(call)
        if gate_refusal is not None:
            return path.refuse(call, gate_refusal, call.chain.retry_allowance)
        choice: choices.Choice | None = path.choose_first(call, self._tried)
        may_have_run = False
        refusal_count = 0
        while True:
            match choice:
                case choices.Chosen(member):
                    outcome = await self._send_attempt(call, member)
                case choices.NoneAvailable(refusal):
                    return path.refuse(call, refusal, self._allowance.close())
            refusal_count += _is_daemon_refusal(outcome)
            choice = path.choose_retry(
                call,
                outcome,
                self._tried,
                self._allowance,
                path.is_free_refusal(outcome, refusal_count),
            )
            if choice is None:
                answer = (
                    _convert_to_unknown(outcome) if may_have_run else outcome
                )
                return _set_unspent_retries(answer, self._allowance.close())
            await self._close(None)
            may_have_run = may_have_run or not _is_not_run(outcome)
            # After a refusal by a daemon no worker has received the call, so
            # that the next attempt is not marked as a retry.
            if not _is_daemon_refusal(outcome):
                call = _mark_retry(call)

    async def _send_attempt(
        self, call: calls.Call, member: members.Member
    ) -> outcomes.Outcome:
        self._tried.add(member.instance)
        attempt = self._path.make_attempt(
            call, member, self._allowance, self._tried
        )
        outcome = await attempt.__aenter__()
        self._attempt = attempt
        return outcome

    async def _close(self, error: BaseException | None) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            await scopes.exit_context(attempt, error)


def _set_unspent_retries(
    outcome: outcomes.Outcome, unspent_retries: int
) -> outcomes.Outcome:
    """Returns the outcome with these unspent retries and no load report.

    The report of the instance was used by the attempt and is not passed on.
    """
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


def _is_success(outcome: outcomes.Outcome) -> bool:
    """Tells whether a worker answered with a status below 500."""
    match outcome:
        case outcomes.Completed(status):
            return status < FIRST_SERVER_ERROR_STATUS
        case _:
            return False


def _is_not_run(outcome: outcomes.Outcome) -> bool:
    """Tells whether an attempt is known not to have run."""
    match outcome:
        case outcomes.NotRun():
            return True
        case _:
            return False


def _is_daemon_refusal(outcome: outcomes.Outcome) -> bool:
    """Tells whether a daemon refused before a worker was reached."""
    match outcome:
        case outcomes.NotRun(refusals.WorkerRefused()):
            return False
        case outcomes.NotRun():
            return True
        case _:
            return False


def _mark_retry(call: calls.Call) -> calls.Call:
    """Returns the call for the next attempt, marked as a retry."""
    chain = dataclasses.replace(call.chain, is_retry=True)
    return dataclasses.replace(call, chain=chain, attempt=call.attempt + 1)


def _convert_to_unknown(outcome: outcomes.Outcome) -> outcomes.Outcome:
    """Replaces a refusal of the last attempt by an unknown outcome.

    Used when an earlier attempt may have run: the refusal proves only that the
    last one did not.
    """
    match outcome:
        case outcomes.NotRun(refusal):
            return outcomes.Unknown(
                f"an earlier attempt may have run; the last: {refusal.code}"
            )
        case _:
            return outcome
