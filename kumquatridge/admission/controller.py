"""The slots of one worker and the queue in front of them."""

import asyncio
import dataclasses

from kumquatridge import clock
from kumquatridge import scopes
from kumquatridge.admission import admission_decisions
from kumquatridge.admission import level_control
from kumquatridge.admission import levels
from kumquatridge.admission import limits
from kumquatridge.admission import queue as waiting_queue
from kumquatridge.admission import service_times
from kumquatridge.admission import settings as admission_settings
from kumquatridge.admission import shares
from kumquatridge.admission import waits
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import load_reports
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals

IDLE_RATIO = 0.75
# A wait is expected from the median of all calls, which a mix of routes makes
# inexact; only one well beyond the bound is refused beforehand.
HOPELESS_RATIO = 1.25
FIRST_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionStatus:
    """What admission at a worker stands at, for status and gauges."""

    slots: int
    limit: int
    in_progress: int
    long_in_progress: int
    long_limit: int
    kept_for_deeper: int
    queued: int
    level: levels.AdmissionLevel
    is_overloaded: bool
    latency_ms: float


class AdmissionController:
    """Admits calls up to the worker's slots, the more important first."""

    def __init__(
        self,
        slots: int,
        settings: admission_settings.AdmissionSettings | None = None,
    ) -> None:
        self._settings = settings or admission_settings.AdmissionSettings()
        self._limit = limits.ConcurrencyLimit(slots)
        self._shares = shares.SlotShares(self._settings)
        self._shares.set_limit(slots)
        self._control = level_control.LevelControl()
        self._times = service_times.ServiceTimes()
        self._waits = waits.WaitBounds(
            self._settings, self._times, self._control, self._shares
        )
        self._queue = waiting_queue.WaitingQueue()
        self.is_draining = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_progress(self) -> int:
        """Calls that hold a slot now."""
        return self._shares.in_progress

    @property
    def queued(self) -> int:
        """Calls that wait for a slot now."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Calls that may hold a slot at once."""
        return self._shares.limit

    @property
    def status(self) -> AdmissionStatus:
        """What the controller stands at."""
        return AdmissionStatus(
            slots=self._limit.slots,
            limit=self.limit,
            in_progress=self.in_progress,
            long_in_progress=self._shares.long_in_progress,
            long_limit=self._shares.get_long_limit(
                call_importance.Importance.BACKGROUND
            ),
            kept_for_deeper=self._shares.get_kept(depth=0),
            queued=self.queued,
            level=levels.AdmissionLevel.from_rank(self._control.rank),
            is_overloaded=self._control.is_overloaded,
            latency_ms=self._times.median_ms,
        )

    def make_report(self) -> load_reports.LoadReport:
        """Returns what answers tell the senders of calls."""
        level = levels.AdmissionLevel.from_rank(self._control.rank)
        return load_reports.LoadReport(
            level.importance,
            level.depth_class,
            level.threshold,
            self.in_progress + self.queued,
            self.limit,
            self._times.median_ms,
        )

    def set_slots(self, slots: int) -> None:
        """Takes the number of slots that the worker announced."""
        self._limit.set_slots(slots)
        self._update_limit()

    async def wait_until_idle(self) -> None:
        """Waits until no call holds a slot."""
        await self._idle.wait()

    def drain(self) -> None:
        """Refuses every call from now on; calls in progress go on."""
        self.is_draining = True

    def admit(self, call: calls.Call) -> "Admission":
        """Returns the admission of a call, which may hold a slot while open."""
        return Admission(self, call)

    def announce(self, call: calls.Call, now_ms: float) -> shares.Kind:
        """Takes note of a call that wants a slot; `forget` it at its end."""
        kind = shares.Kind(
            call.chain.importance,
            call.chain.depth,
            self._times.is_long(call.policy),
        )
        self._shares.enter(kind, now_ms)
        return kind

    def forget(
        self,
        kind: shares.Kind,
        verdict: admission_decisions.AdmissionDecision | None,
    ) -> None:
        """Ends a call that was announced, and frees the slot it held."""
        match verdict:
            case admission_decisions.Admitted():
                self._release(kind)
            case _:
                pass
        self._shares.leave(kind)

    def record_answer(
        self, call: calls.Call, latency_ms: float, outcome: outcomes.Outcome
    ) -> None:
        """Learns from what the worker answered and how long it took."""
        match outcome:
            case outcomes.Completed(is_worker_shed=True):
                self._learn(latency_ms, latency_ratio=1.0, is_overload=True)
            case outcomes.Completed(status) if status < FIRST_ERROR_STATUS:
                ratio = self._times.record(
                    call.policy, latency_ms, clock.get_now_ms()
                )
                self._learn(latency_ms, ratio, is_overload=False)
            case _:
                pass

    def _learn(
        self, latency_ms: float, latency_ratio: float, is_overload: bool
    ) -> None:
        is_saturated = self.in_progress >= self.limit
        answer = limits.Answer(
            latency_ms, latency_ratio, is_saturated, is_overload
        )
        self._limit.record(answer, clock.get_now_ms())
        self._update_limit()

    def _update_limit(self) -> None:
        before = self._shares.limit
        self._shares.set_limit(self._limit.limit)
        if self._limit.limit > before:
            self._hand_over()

    async def decide(
        self, call: calls.Call, kind: shares.Kind, now_ms: float
    ) -> admission_decisions.AdmissionDecision:
        """Decides about a call that was announced; may wait for a slot."""
        rank = levels.get_rank(call.chain)
        if not kind.is_long:
            self._control.record_arrival(rank)
        self._close_window(kind, now_ms)
        refusal = self._check(call, kind, rank)
        if refusal is not None:
            return admission_decisions.Refused(refusal)
        if self._shares.can_take(kind):
            self._take(kind)
            return self._make_admitted(queued_ms=0.0)
        return await self._wait(call, kind, rank, now_ms)

    def _check(
        self, call: calls.Call, kind: shares.Kind, rank: int
    ) -> refusals.Refusal | None:
        remaining_ms = call.chain.get_remaining_ms()
        if remaining_ms <= self._times.get_expected_ms(call.policy):
            return refusals.DeadlineExceeded(int(remaining_ms))
        if rank >= self._control.rank or kind.is_long:
            return None
        if self.in_progress < self.limit * IDLE_RATIO:
            return None
        if kind.importance is shares.CRITICAL and self._shares.can_take(kind):
            return None
        return self._make_overloaded()

    def _make_overloaded(self) -> refusals.Overloaded:
        return refusals.Overloaded(
            self._control.rank, self.limit, self._settings.retry_after_ms
        )

    async def _wait(
        self, call: calls.Call, kind: shares.Kind, rank: int, now_ms: float
    ) -> admission_decisions.AdmissionDecision:
        loop = asyncio.get_running_loop()
        waiting = waiting_queue.Waiting(
            rank, self._control.get_order(rank), kind, loop.create_future()
        )
        wait_ms = self._waits.get_wait_ms(call, kind)
        if self._is_hopeless(kind, wait_ms):
            return self._make_queue_refusal(call, now_ms)
        self._queue.push(waiting)
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                refusal = await waiting.decided
        except TimeoutError:
            if not _holds_slot(waiting):
                return self._make_queue_refusal(call, now_ms)
            refusal = None
        except asyncio.CancelledError:
            if _holds_slot(waiting):
                self._release(kind)
            raise
        finally:
            if waiting.decided.cancelled():
                self._queue.discard()
                self._control.record_queue(self._shares.short_waiting)
        if refusal is not None:
            return admission_decisions.Refused(refusal)
        return self._make_admitted(clock.get_now_ms() - now_ms)

    def _is_hopeless(self, kind: shares.Kind, wait_ms: float) -> bool:
        """Tells whether a call would wait in vain behind those before it.

        Load pattern: a burst at a worker with few slots. A caller that is
        refused at once can still come back in time.
        """
        if not self._settings.refuses_on_expected_wait or kind.importance is (
            shares.CRITICAL
        ):
            return False
        ahead = self._queue.count_ahead(kind)
        expected_ms = ahead * self._times.median_ms / max(1, self.limit)
        return expected_ms > wait_ms * HOPELESS_RATIO

    def _make_admitted(self, queued_ms: float) -> admission_decisions.Admitted:
        return admission_decisions.Admitted(queued_ms, self._control.is_closed)

    def _make_queue_refusal(
        self, call: calls.Call, started_ms: float
    ) -> admission_decisions.Refused:
        remaining_ms = call.chain.get_remaining_ms()
        if remaining_ms <= self._times.get_expected_ms(call.policy):
            return admission_decisions.Refused(
                refusals.DeadlineExceeded(int(remaining_ms))
            )
        waited_ms = int(clock.get_now_ms() - started_ms)
        return admission_decisions.Refused(
            refusals.QueueTimeout(waited_ms, self._settings.retry_after_ms)
        )

    def _close_window(self, kind: shares.Kind, now_ms: float) -> None:
        if not self._control.is_window_over(now_ms):
            return
        waiting = self._shares.short_waiting - (not kind.is_long)
        if self._control.close_window(now_ms, waiting):
            for dropped in self._queue.pop_below(self._control.rank):
                dropped.decided.set_result(self._make_overloaded())

    def _take(self, kind: shares.Kind) -> None:
        self._shares.take(kind)
        self._idle.clear()
        if not kind.is_long:
            self._control.record_grant()

    def _release(self, kind: shares.Kind) -> None:
        self._shares.release(kind)
        if self.in_progress == 0:
            self._idle.set()
        self._hand_over()

    def _hand_over(self) -> None:
        while self._queue and self.in_progress < self.limit:
            waiting = self._queue.pop_best(self._shares.can_take)
            if waiting is None:
                break
            self._take(waiting.kind)
            waiting.decided.set_result(None)
        self._control.record_queue(self._shares.short_waiting)


class Admission(scopes.Scope[admission_decisions.AdmissionDecision]):
    """What admission decided about a call; its slot is held while open."""

    def __init__(
        self, controller: AdmissionController, call: calls.Call
    ) -> None:
        self._controller = controller
        self._call = call
        self._kind: shares.Kind | None = None
        self._verdict: admission_decisions.AdmissionDecision | None = None

    async def _open(self) -> admission_decisions.AdmissionDecision:
        if self._controller.is_draining:
            return admission_decisions.Refused(
                refusals.Draining(self._call.service)
            )
        now_ms = clock.get_now_ms()
        self._kind = self._controller.announce(self._call, now_ms)
        self._verdict = await self._controller.decide(
            self._call, self._kind, now_ms
        )
        return self._verdict

    async def _close(self, error: BaseException | None) -> None:
        kind, self._kind = self._kind, None
        if kind is not None:
            self._controller.forget(kind, self._verdict)


def _holds_slot(waiting: waiting_queue.Waiting) -> bool:
    decided = waiting.decided
    return (
        decided.done() and not decided.cancelled() and decided.result() is None
    )
