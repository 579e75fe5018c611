"""The inbound side: guards the worker beside this daemon."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses

from kumquatridge import clock
from kumquatridge.admission import guard as admission_guard
from kumquatridge.admission import verdicts
from kumquatridge.callpath import links
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.chain import ledger as chain_ledger
from kumquatridge.membership import table
from kumquatridge.telemetry import recorder as telemetry


class InboundPath:
    """Takes calls for the own worker and answers with an outcome."""

    def __init__(
        self,
        members: table.MemberTable,
        guard: admission_guard.AdmissionGuard,
        ledger: chain_ledger.Ledger,
        worker: links.WorkerLink,
        recorder: telemetry.Recorder,
    ) -> None:
        self._members = members
        self._guard = guard
        self._ledger = ledger
        self._worker = worker
        self._recorder = recorder

    @contextlib.asynccontextmanager
    async def serve(self, call: calls.Call) -> AsyncIterator[outcomes.Outcome]:
        """Runs a call at the own worker, or refuses it."""
        refusal = self._check(call)
        if refusal is not None:
            yield self._refuse(call, refusal)
            return
        async with self._guard.admit(call) as verdict:
            match verdict:
                case verdicts.Refused(refusal):
                    yield self._refuse(call, refusal)
                case verdicts.Admitted():
                    async with self._run(call) as outcome:
                        yield outcome

    def _check(self, call: calls.Call) -> refusals.Refusal | None:
        announcement = self._members.own.announcement
        if announcement is None or announcement.service != call.service:
            return refusals.NoInstance(call.service, retry_after_ms=1000)
        length_bytes = call_body.get_length_bytes(call.body)
        limit_bytes = call.policy.max_body_bytes
        if length_bytes is not None and length_bytes > limit_bytes:
            return refusals.BodyTooLarge(length_bytes, limit_bytes)
        remaining_ms = call.chain.get_remaining_ms()
        if remaining_ms <= 0:
            return refusals.DeadlineExceeded(int(remaining_ms))
        return None

    @contextlib.asynccontextmanager
    async def _run(self, call: calls.Call) -> AsyncIterator[outcomes.Outcome]:
        announcement = self._members.own.announcement
        assert announcement is not None
        started_ms = clock.get_now_ms()
        with self._ledger.record(call.chain) as record:
            async with self._worker.send(
                call, announcement.address, record.token
            ) as outcome:
                latency_ms = clock.get_now_ms() - started_ms
                self._guard.record_answer(call, latency_ms, outcome)
                yield dataclasses.replace(
                    outcome,
                    unspent_retries=record.retries.left,
                    report=self._guard.make_report(),
                )

    def _refuse(
        self, call: calls.Call, refusal: refusals.Refusal
    ) -> outcomes.Outcome:
        self._recorder.record_refusal(call, refusal)
        return outcomes.NotRun(
            refusal, call.chain.retries, self._guard.make_report()
        )
