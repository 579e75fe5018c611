"""Inbound path: admits calls to the local worker and runs them there.

A call holds a slot of the admission controller while it runs. A call with the
fingerprint of one that was in progress when a worker crashed is a suspect and
runs isolated (`quarantine.crash_registry`).
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

from kumquatridge import clock
from kumquatridge import scopes
from kumquatridge.admission import admission_decisions
from kumquatridge.admission import controller as admission_controller
from kumquatridge.admission import gates
from kumquatridge.admission import offers
from kumquatridge.callpath import links
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.chain import inbound_calls
from kumquatridge.membership import table
from kumquatridge.quarantine import crash_registry
from kumquatridge.quarantine import isolation as suspect_isolation
from kumquatridge.telemetry import recorder as telemetry

NO_INSTANCE_RETRY_AFTER_MS = 1000
# Labels retries that the retry budget of the service does not permit.
BUDGET_SPENT = "budget_spent"
# Statuses by which a worker sheds a call because of overload.
SHED_STATUSES = frozenset((429, 503))


class InboundPath:
    """Admits, isolates or refuses calls for the local worker.

    `gate` computes the level of importance below which other daemons refuse
    roots, the first calls of chains, early on behalf of this instance
    (`admission.gates`). `offer_control` decides about retries; None leaves them
    to the senders.
    """

    def __init__(
        self,
        members: table.MemberTable,
        controller: admission_controller.AdmissionController,
        inbound_registry: inbound_calls.InboundCallRegistry,
        worker: links.WorkerLink,
        recorder: telemetry.Recorder,
        *,
        crashes: crash_registry.CrashRegistry,
        gate: gates.GateController | None = None,
        offer_control: offers.OfferControl | None = None,
    ) -> None:
        self._members = members
        self._controller = controller
        self._inbound_registry = inbound_registry
        self._worker = worker
        self._recorder = recorder
        self._crashes = crashes
        self._gate = gate or gates.GateController(gates.GateSettings())
        self._offer_control = offer_control
        self._isolation = suspect_isolation.Isolation()

    def serve(
        self, call: calls.Call
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Runs a call at the local worker, or refuses it."""
        refusal = self._find_refusal(call)
        if refusal is not None:
            return contextlib.nullcontext(self.refuse(call, refusal))
        match self._crashes.evaluate(call):
            case crash_registry.Allow():
                return self._admit(call)
            case crash_registry.Refuse(refusal):
                return contextlib.nullcontext(self.refuse(call, refusal))
            case crash_registry.Suspect() as suspect:
                return self._run_isolated(call, suspect)

    @contextlib.asynccontextmanager
    async def _run_isolated(
        self, call: calls.Call, suspect: crash_registry.Suspect
    ) -> AsyncIterator[outcomes.Outcome]:
        """Runs a suspect call isolated from other suspects.

        The call is checked again after it has waited for other suspects, since
        another crash with its fingerprint may have been recorded meanwhile.
        """
        async with contextlib.AsyncExitStack() as stack:
            remaining_s = call.chain.get_remaining_ms() / 1000.0
            try:
                async with asyncio.timeout(remaining_s):
                    await stack.enter_async_context(
                        self._isolation.hold(suspect)
                    )
            except TimeoutError:
                # No time remains.
                yield self.refuse(call, refusals.DeadlineExceeded(0))
                return
            match self._crashes.evaluate(call):
                case crash_registry.Refuse(refusal):
                    yield self.refuse(call, refusal)
                    return
                case (
                    crash_registry.Suspect(crash_count=crash_count) as current
                ) if crash_count > suspect.crash_count:
                    # Further crashes may require stricter isolation.
                    await stack.aclose()
                    async with self._run_isolated(call, current) as outcome:
                        yield outcome
                    return
                case _:
                    pass
            outcome = await stack.enter_async_context(self._admit(call))
            match outcome:
                case outcomes.Completed():
                    self._crashes.record_answer(suspect.fingerprint)
            yield outcome

    def _admit(self, call: calls.Call) -> "_SlotScope":
        """Returns a scope that waits for a slot and runs the call in it."""
        now_ms = clock.get_now_ms()
        self._gate.record_arrival(call, now_ms)
        controller = self._controller
        load = gates.WorkerLoad(
            controller.in_progress, controller.queued, controller.limit
        )
        self._gate.update(load, now_ms)
        return _SlotScope(self, call, controller.admit(call))

    def record_gate_outcome(self, outcome: outcomes.Outcome) -> None:
        """Counts an offer to the worker for the gate."""
        match outcome:
            case outcomes.NotRun(refusals.WorkerRefused()):
                self._gate.record_worker_refusal()
            case _:
                self._gate.record_completion()

    def _find_refusal(self, call: calls.Call) -> refusals.Refusal | None:
        announcement = self._members.own.announcement
        if announcement is None or announcement.service != call.service:
            return refusals.NoInstance(call.service, NO_INSTANCE_RETRY_AFTER_MS)
        length_bytes = call_body.get_length_bytes(call.body)
        limit_bytes = call.policy.max_body_bytes
        if length_bytes is not None and length_bytes > limit_bytes:
            return refusals.BodyTooLarge(length_bytes, limit_bytes)
        remaining_ms = call.chain.get_remaining_ms()
        if remaining_ms <= 0:
            return refusals.DeadlineExceeded(int(remaining_ms))
        return None

    def get_worker_address(self) -> str | None:
        """Returns the worker's address, None when no worker is announced."""
        announcement = self._members.own.announcement
        return None if announcement is None else announcement.address

    def register_call(
        self, call: calls.Call, admitted: admission_decisions.Admitted
    ) -> inbound_calls.InboundCallScope:
        """Returns a context; while it is open, the call is registered.

        The token is the request id of the call, or random if that is empty.
        """
        return self._inbound_registry.register(
            call.chain,
            call.caller,
            admitted.waited_ms,
            admitted.is_contended,
            token=call.request_id,
        )

    def find_retry_refusal(self, call: calls.Call) -> refusals.Refusal | None:
        """Counts the first offer of a call here, unless it is refused."""
        if self._offer_control is None or self._offer_control.admit(call):
            return None
        self._recorder.record_retry_denied(call, BUDGET_SPENT)
        return refusals.RetriesExhausted(BUDGET_SPENT)

    def get_repeat_pause_ms(
        self, call: calls.Call, outcome: outcomes.Outcome, offer_count: int
    ) -> float | None:
        """Returns the pause before a call is offered to the worker again.

        None is returned if the outcome is final here; otherwise the retry is
        charged to the budget of the service.
        """
        match outcome:
            case outcomes.NotRun(refusals.WorkerRefused() as refusal):
                pass
            case _:
                return None
        control = self._offer_control
        if control is None or not call_body.is_resendable(call.body):
            return None
        pause_ms = control.get_pause_ms(call, offer_count)
        if pause_ms is None:
            return None
        if not control.try_repeat(call):
            self._recorder.record_retry_denied(call, BUDGET_SPENT)
            return None
        self._recorder.record_retry(call, refusal.code)
        return pause_ms

    def send(
        self, call: calls.Call, address: str, token: str
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends an admitted call to the worker at `address`."""
        return self._worker.send(call, address, token)

    async def finish_call(
        self,
        call: calls.Call,
        inbound_call: inbound_calls.InboundCall,
        outcome: outcomes.Outcome,
        latency_ms: float,
    ) -> outcomes.Outcome:
        """Records a worker's outcome and returns it with the load report.

        `latency_ms` is the time from sending the call to this outcome, without
        the wait for a slot and the reading of the answer's body.
        """
        final_outcome = await self._finalise_outcome(
            call, inbound_call, outcome
        )
        self._controller.record_answer(call, latency_ms, final_outcome)
        self.record_gate_outcome(outcome)
        return final_outcome

    async def _finalise_outcome(
        self,
        call: calls.Call,
        inbound_call: inbound_calls.InboundCall,
        outcome: outcomes.Outcome,
    ) -> outcomes.Outcome:
        """Adds the unspent retries and the load report to an outcome.

        Called when the headers of the answer have arrived or the attempt has
        failed; closes the retry allowance of the call. Without an answer the
        child calls are cancelled. After a crash of the worker the outcome is
        delayed, so that other daemons learn of the crash before the caller can
        resend the call.
        """
        report = self._controller.make_report()
        match outcome:
            case outcomes.Completed(status):
                is_shed = status in SHED_STATUSES
                return outcomes.Completed(
                    status,
                    outcome.headers,
                    outcome.body,
                    inbound_call.retry_allowance.close(),
                    report,
                    is_worker_shed=is_shed
                    and not inbound_call.child_was_refused,
                    child_failed=inbound_call.child_failed,
                )
            case outcomes.Unknown(worker_lost=True):
                inbound_call.cancel_children()
                self._crashes.record_crash(call)
                await asyncio.sleep(self._crashes.answer_delay_ms / 1000.0)
            case _:
                inbound_call.cancel_children()
        return dataclasses.replace(
            outcome,
            unspent_retries=inbound_call.retry_allowance.close(),
            report=report,
        )

    def refuse(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> outcomes.Outcome:
        """Records a refusal and returns it as an outcome."""
        self._recorder.record_refusal(call, refusal)
        return outcomes.NotRun(
            refusal, call.chain.retry_allowance, self._controller.make_report()
        )


class _SlotScope(scopes.Scope[outcomes.Outcome]):
    """A call that gets a slot and holds it until its answer has been read.

    The admission, the registration and the attempt are entered and left by
    explicit calls, which is faster than an exit stack (see `scopes`).
    """

    def __init__(
        self,
        path: InboundPath,
        call: calls.Call,
        admission: admission_controller.Admission,
    ) -> None:
        self._path = path
        self._call = call
        self._admission = admission
        self._registration: inbound_calls.InboundCallScope | None = None
        self._attempt: (
            contextlib.AbstractAsyncContextManager[outcomes.Outcome] | None
        ) = None

    async def _open(self) -> outcomes.Outcome:
        match await self._admission.__aenter__():
            case admission_decisions.Refused(refusal):
                return self._path.refuse(self._call, refusal)
            case admission_decisions.Admitted() as admitted:
                return await self._send(admitted)

    async def _send(
        self, admitted: admission_decisions.Admitted
    ) -> outcomes.Outcome:
        path, call = self._path, self._call
        address = path.get_worker_address()
        if address is None:
            refusal = refusals.NoInstance(
                call.service, NO_INSTANCE_RETRY_AFTER_MS
            )
            return path.refuse(call, refusal)
        retry_refusal = path.find_retry_refusal(call)
        if retry_refusal is not None:
            return path.refuse(call, retry_refusal)
        registration = path.register_call(call, admitted)
        inbound_call = registration.__enter__()
        self._registration = registration
        offer_count = 0
        while True:
            started_ms = clock.get_now_ms()
            outcome = await self._offer(address, inbound_call.token)
            latency_ms = clock.get_now_ms() - started_ms
            offer_count += 1
            pause_ms = path.get_repeat_pause_ms(call, outcome, offer_count)
            if pause_ms is None:
                return await path.finish_call(
                    call, inbound_call, outcome, latency_ms
                )
            path.record_gate_outcome(outcome)
            await self._end_offer(None)
            await asyncio.sleep(pause_ms / 1000.0)

    async def _offer(self, address: str, token: str) -> outcomes.Outcome:
        """Sends the call to the worker; returns the worker's outcome."""
        attempt = self._path.send(self._call, address, token)
        outcome = await attempt.__aenter__()
        self._attempt = attempt
        return outcome

    async def _end_offer(self, error: BaseException | None) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            await scopes.exit_context(attempt, error)

    async def _close(self, error: BaseException | None) -> None:
        registration, self._registration = self._registration, None
        try:
            await self._end_offer(error)
        finally:
            if registration is not None:
                registration.close(error)
            await scopes.exit_context(self._admission, error)
