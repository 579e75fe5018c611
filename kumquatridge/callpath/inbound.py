"""The inbound side: guards the worker beside this daemon."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

from kumquatridge import clock
from kumquatridge import scopes
from kumquatridge.admission import admission_decisions
from kumquatridge.admission import controller as admission_controller
from kumquatridge.admission import gates
from kumquatridge.callpath import links
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.chain import inbound_calls
from kumquatridge.membership import table
from kumquatridge.quarantine import isolation as suspect_isolation
from kumquatridge.quarantine import register as crash_register
from kumquatridge.telemetry import recorder as telemetry

RETRY_AFTER_MS = 1000
SHED_STATUSES = frozenset((429, 503))


class InboundPath:
    """Takes calls for the own worker and answers with an outcome."""

    def __init__(
        self,
        members: table.MemberTable,
        controller: admission_controller.AdmissionController,
        inbound_registry: inbound_calls.InboundCallRegistry,
        worker: links.WorkerLink,
        recorder: telemetry.Recorder,
        *,
        crashes: crash_register.CrashRegister,
        gate: gates.GateController | None = None,
    ) -> None:
        self._members = members
        self._controller = controller
        self._inbound_registry = inbound_registry
        self._worker = worker
        self._recorder = recorder
        self._crashes = crashes
        self._gate = gate or gates.GateController(gates.GateSettings())
        self._isolation = suspect_isolation.Isolation()

    def serve(
        self, call: calls.Call
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Runs a call at the own worker, or refuses it."""
        refusal = self._check(call)
        if refusal is not None:
            return contextlib.nullcontext(self.refuse(call, refusal))
        match self._crashes.judge(call):
            case crash_register.Clear():
                return self._admit(call)
            case crash_register.Refuse(refusal):
                return contextlib.nullcontext(self.refuse(call, refusal))
            case crash_register.Suspect() as suspect:
                return self._run_apart(call, suspect)

    @contextlib.asynccontextmanager
    async def _run_apart(
        self, call: calls.Call, suspect: crash_register.Suspect
    ) -> AsyncIterator[outcomes.Outcome]:
        """Runs a suspect apart from other suspects."""
        async with contextlib.AsyncExitStack() as stack:
            remaining_s = call.chain.get_remaining_ms() / 1000.0
            try:
                async with asyncio.timeout(remaining_s):
                    await stack.enter_async_context(
                        self._isolation.hold(suspect)
                    )
            except TimeoutError:
                yield self.refuse(call, refusals.DeadlineExceeded(0))
                return
            match self._crashes.judge(call):
                case crash_register.Refuse(refusal):
                    yield self.refuse(call, refusal)
                    return
                case crash_register.Suspect(crashes=crashes) as now if (
                    crashes > suspect.crashes
                ):
                    await stack.aclose()
                    async with self._run_apart(call, now) as outcome:
                        yield outcome
                    return
                case _:
                    pass
            outcome = await stack.enter_async_context(self._admit(call))
            match outcome:
                case outcomes.Completed():
                    self._crashes.record_answer(suspect.fingerprint)
            yield outcome

    def _admit(self, call: calls.Call) -> "_Run":
        now_ms = clock.get_now_ms()
        self._gate.record_arrival(call, now_ms)
        controller = self._controller
        load = gates.WorkerLoad(
            controller.in_progress, controller.queued, controller.limit
        )
        self._gate.update(load, now_ms)
        return _Run(self, call, controller.admit(call))

    def _note_ending(self, outcome: outcomes.Outcome) -> None:
        match outcome:
            case outcomes.NotRun(refusals.WorkerRefused()):
                self._gate.record_worker_refusal()
            case _:
                self._gate.record_completion()

    def _check(self, call: calls.Call) -> refusals.Refusal | None:
        announcement = self._members.own.announcement
        if announcement is None or announcement.service != call.service:
            return refusals.NoInstance(call.service, RETRY_AFTER_MS)
        length_bytes = call_body.get_length_bytes(call.body)
        limit_bytes = call.policy.max_body_bytes
        if length_bytes is not None and length_bytes > limit_bytes:
            return refusals.BodyTooLarge(length_bytes, limit_bytes)
        remaining_ms = call.chain.get_remaining_ms()
        if remaining_ms <= 0:
            return refusals.DeadlineExceeded(int(remaining_ms))
        return None

    def get_address(self) -> str | None:
        """Returns the worker's address, None when it has gone."""
        announcement = self._members.own.announcement
        return None if announcement is None else announcement.address

    def record(
        self, call: calls.Call, admitted: admission_decisions.Admitted
    ) -> inbound_calls.InboundCallScope:
        """Returns the registry entry of a call that was admitted."""
        return self._inbound_registry.register(
            call.chain,
            call.caller,
            admitted.waited_ms,
            admitted.is_contended,
            token=call.request_id,
        )

    def send(
        self, call: calls.Call, address: str, token: str
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call that was admitted to the worker."""
        return self._worker.send(call, address, token)

    async def conclude(
        self,
        call: calls.Call,
        record: inbound_calls.InboundCall,
        outcome: outcomes.Outcome,
        latency_ms: float,
    ) -> outcomes.Outcome:
        """Learns from a worker's outcome; returns it as the sender gets it."""
        concluded = await self._conclude(call, record, outcome)
        self._controller.record_answer(call, latency_ms, concluded)
        self._note_ending(outcome)
        return concluded

    async def _conclude(
        self,
        call: calls.Call,
        record: inbound_calls.InboundCall,
        outcome: outcomes.Outcome,
    ) -> outcomes.Outcome:
        """Settles the record once the answer's head is here, or is lost."""
        report = self._controller.make_report()
        match outcome:
            case outcomes.Completed(status):
                is_shed = status in SHED_STATUSES
                return outcomes.Completed(
                    status,
                    outcome.headers,
                    outcome.body,
                    record.retry_allowance.close(),
                    report,
                    is_worker_shed=is_shed and not record.child_was_refused,
                    child_failed=record.child_failed,
                )
            case outcomes.Unknown(worker_lost=True):
                record.cancel_children()
                self._crashes.record_crash(call)
                await asyncio.sleep(self._crashes.share_ms / 1000.0)
            case _:
                record.cancel_children()
        return dataclasses.replace(
            outcome,
            unspent_retries=record.retry_allowance.close(),
            report=report,
        )

    def refuse(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> outcomes.Outcome:
        """Returns the outcome of a call that is not run here."""
        self._recorder.record_refusal(call, refusal)
        return outcomes.NotRun(
            refusal, call.chain.retry_allowance, self._controller.make_report()
        )


class _Run(scopes.Scope[outcomes.Outcome]):
    """A call in its slot at the own worker, until its answer was read."""

    def __init__(
        self,
        path: InboundPath,
        call: calls.Call,
        admission: admission_controller.Admission,
    ) -> None:
        self._path = path
        self._call = call
        self._admission = admission
        self._entry: inbound_calls.InboundCallScope | None = None
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
        address = path.get_address()
        if address is None:
            refusal = refusals.NoInstance(call.service, RETRY_AFTER_MS)
            return path.refuse(call, refusal)
        started_ms = clock.get_now_ms()
        entry = path.record(call, admitted)
        record = entry.__enter__()
        self._entry = entry
        attempt = path.send(call, address, record.token)
        outcome = await attempt.__aenter__()
        self._attempt = attempt
        latency_ms = clock.get_now_ms() - started_ms
        return await path.conclude(call, record, outcome, latency_ms)

    async def _close(self, error: BaseException | None) -> None:
        attempt, entry = self._attempt, self._entry
        self._attempt = self._entry = None
        try:
            if attempt is not None:
                await scopes.leave(attempt, error)
        finally:
            if entry is not None:
                entry.close(error)
            await scopes.leave(self._admission, error)
