"""Admission control for the slots of one worker and their queue."""

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
from kumquatridge.admission import wait_bounds
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import load_reports
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals

# While calls hold a smaller share of the limit, none is refused because of the
# admission level.
MIN_BUSY_RATIO = 0.75
# The expected wait is derived from the median over all routes and so inexact
# for a mix of routes; a call is refused only if the expected wait is well above
# its bound.
EXPECTED_WAIT_TOLERANCE_RATIO = 1.25
MIN_SERVER_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionStatus:
    """A snapshot of admission at a worker, for status output and gauges.

    `slots` is the number announced by the worker, and `limit` how many of them
    may be used now (see `limits`). `in_progress` counts the calls that hold a
    slot, and `queued` those that wait for one. `long_in_progress` counts the
    long-running calls among `in_progress`, and `long_limit` is their limit at
    the lowest importance. `kept_for_deeper` is the number of slots that roots
    leave to nested calls (see `shares`). `level` is the admission level, and
    `is_overloaded` tells whether there is a standing queue (see
    `level_control`). `latency_ms` is the median service time, 0 before any
    answer.
    """

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
    """Admits calls to one worker up to its limit, the highest rank first.

    Ranks are defined in `levels`. `slots` is the number of calls that the
    worker announced to run concurrently.
    """

    def __init__(
        self,
        slots: int,
        settings: admission_settings.AdmissionSettings | None = None,
    ) -> None:
        self._settings = settings or admission_settings.AdmissionSettings()
        self._limit = limits.ConcurrencyLimit(slots)
        self._shares = shares.SlotShares(self._settings)
        self._shares.set_limit(slots)
        self._level_control = level_control.LevelControl()
        self._service_times = service_times.ServiceTimes()
        self._wait_bounds = wait_bounds.WaitBounds(
            self._settings,
            self._service_times,
            self._level_control,
            self._shares,
        )
        self._queue = waiting_queue.WaitingQueue()
        self.is_draining = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def in_progress(self) -> int:
        """The number of calls that hold a slot."""
        return self._shares.in_progress

    @property
    def queued(self) -> int:
        """The number of calls in the queue."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """The number of calls that may hold a slot concurrently."""
        return self._shares.limit

    @property
    def status(self) -> AdmissionStatus:
        """A snapshot of slots, queue and admission level."""
        return AdmissionStatus(
            slots=self._limit.slots,
            limit=self.limit,
            in_progress=self.in_progress,
            long_in_progress=self._shares.long_in_progress,
            long_limit=self._shares.get_long_running_limit(
                call_importance.Importance.BACKGROUND
            ),
            kept_for_deeper=self._shares.get_reserved_slots(depth=0),
            queued=self.queued,
            level=levels.AdmissionLevel.from_rank(
                self._level_control.min_admitted_rank
            ),
            is_overloaded=self._level_control.is_overloaded,
            latency_ms=self._service_times.median_ms,
        )

    def make_report(self) -> load_reports.LoadReport:
        """Returns the load report that is sent along with answers."""
        level = levels.AdmissionLevel.from_rank(
            self._level_control.min_admitted_rank
        )
        # A report counts the queued calls as in progress.
        return load_reports.LoadReport(
            level.importance,
            level.depth_class,
            level.threshold,
            self.in_progress + self.queued,
            self.limit,
            self._service_times.median_ms,
        )

    def set_slots(self, slots: int) -> None:
        """Sets the number of slots that the worker announced."""
        self._limit.set_slots(slots)
        self._update_limit()

    async def wait_until_idle(self) -> None:
        """Waits until no call holds a slot."""
        await self._idle.wait()

    def drain(self) -> None:
        """Refuses all further calls.

        Calls that hold a slot or wait in the queue are not affected.
        """
        self.is_draining = True

    def admit(self, call: calls.Call) -> "Admission":
        """Returns a scope that decides on a call and holds its slot, if any."""
        return Admission(self, call)

    def register_call(
        self, call: calls.Call, now_ms: float
    ) -> shares.CallClass:
        """Counts a call as demand until `finish_call`; returns its class.

        Demand is all calls that wait for a slot or hold one. Classes are
        defined in `shares`.
        """
        call_class = shares.CallClass(
            call.chain.importance,
            call.chain.depth,
            self._service_times.is_long_running(call.policy),
        )
        self._shares.add_demand(call_class, now_ms)
        return call_class

    def finish_call(
        self,
        call_class: shares.CallClass,
        decision: admission_decisions.AdmissionDecision | None,
    ) -> None:
        """Removes a registered call and releases the slot that it held.

        `decision` is None if the call was cancelled before it was decided on.
        """
        match decision:
            case admission_decisions.Admitted():
                self._release(call_class)
            case _:
                pass
        self._shares.remove_demand(call_class)

    def record_answer(
        self, call: calls.Call, latency_ms: float, outcome: outcomes.Outcome
    ) -> None:
        """Updates service times and the limit from an answer of the worker.

        `latency_ms` is the service time. Server errors are ignored, except
        those by which the worker itself refuses a call for overload.
        """
        match outcome:
            case outcomes.Completed(is_worker_shed=True):
                self._record_sample(
                    latency_ms, latency_ratio=1.0, is_overload=True
                )
            case outcomes.Completed(status) if status < MIN_SERVER_ERROR_STATUS:
                ratio = self._service_times.record(
                    call.policy, latency_ms, clock.get_now_ms()
                )
                self._record_sample(latency_ms, ratio, is_overload=False)
            case _:
                pass

    def _record_sample(
        self, latency_ms: float, latency_ratio: float, is_overload: bool
    ) -> None:
        is_saturated = self.in_progress >= self.limit
        sample = limits.AnswerSample(
            latency_ms, latency_ratio, is_saturated, is_overload
        )
        self._limit.record(sample, clock.get_now_ms())
        self._update_limit()

    def _update_limit(self) -> None:
        previous_limit = self._shares.limit
        self._shares.set_limit(self._limit.limit)
        if self._limit.limit > previous_limit:
            self._grant_free_slots()

    async def decide(
        self, call: calls.Call, call_class: shares.CallClass, now_ms: float
    ) -> admission_decisions.AdmissionDecision:
        """Decides on a registered call; may wait in the queue for a slot.

        `now_ms` is the time at which the call arrived.
        """
        rank = levels.get_rank(call.chain)
        if not call_class.is_long_running:
            self._level_control.record_arrival(rank)
        self._update_level(call_class, now_ms)
        refusal = self._find_refusal(call, call_class, rank)
        if refusal is not None:
            return admission_decisions.Refused(refusal)
        if self._shares.can_acquire(call_class):
            self._acquire(call_class)
            return self._make_admitted(waited_ms=0.0)
        return await self._wait_for_slot(call, call_class, rank, now_ms)

    def _find_refusal(
        self, call: calls.Call, call_class: shares.CallClass, rank: int
    ) -> refusals.Refusal | None:
        """Returns why a call may neither take a slot nor wait for one, or None.

        The admission level does not apply to long-running calls, which
        `shares` limits, nor to critical calls while they can have a slot.
        """
        remaining_ms = call.chain.get_remaining_ms()
        if remaining_ms <= self._service_times.get_expected_ms(call.policy):
            return refusals.DeadlineExceeded(int(remaining_ms))
        if (
            rank >= self._level_control.min_admitted_rank
            or call_class.is_long_running
        ):
            return None
        if self.in_progress < self.limit * MIN_BUSY_RATIO:
            return None
        if (
            call_class.importance is shares.CRITICAL
            and self._shares.can_acquire(call_class)
        ):
            return None
        return self._make_overloaded()

    def _make_overloaded(self) -> refusals.Overloaded:
        return refusals.Overloaded(
            self._level_control.min_admitted_rank,
            self.limit,
            self._settings.retry_after_ms,
        )

    async def _wait_for_slot(
        self,
        call: calls.Call,
        call_class: shares.CallClass,
        rank: int,
        arrived_ms: float,
    ) -> admission_decisions.AdmissionDecision:
        loop = asyncio.get_running_loop()
        waiting = waiting_queue.WaitingCall(
            rank,
            self._level_control.get_order(rank),
            call_class,
            loop.create_future(),
        )
        wait_ms = self._wait_bounds.get_wait_ms(call, call_class)
        if self._is_expected_wait_too_long(call_class, wait_ms):
            return self._make_queue_refusal(call, arrived_ms)
        self._queue.push(waiting)
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                refusal = await waiting.future
        except TimeoutError:
            if not _holds_slot(waiting):
                return self._make_queue_refusal(call, arrived_ms)
            refusal = None
        except asyncio.CancelledError:
            if _holds_slot(waiting):
                self._release(call_class)
            raise
        finally:
            # The future is cancelled by the time-out, or with this task.
            if waiting.future.cancelled():
                self._queue.record_abandoned()
                self._level_control.record_queue(self._shares.short_waiting)
        if refusal is not None:
            return admission_decisions.Refused(refusal)
        return self._make_admitted(clock.get_now_ms() - arrived_ms)

    def _is_expected_wait_too_long(
        self, call_class: shares.CallClass, wait_ms: float
    ) -> bool:
        """Returns whether the calls ahead take longer than a call may wait.

        `wait_ms` is how long the call may wait. The check must be enabled in
        the settings and exempts critical calls. It is for bursts at a worker
        with few slots: a caller that is refused at once still has time for a
        retry.
        """
        if (
            not self._settings.refuses_on_expected_wait
            or call_class.importance is shares.CRITICAL
        ):
            return False
        calls_ahead = self._queue.count_ahead(call_class)
        expected_ms = (
            calls_ahead * self._service_times.median_ms / max(1, self.limit)
        )
        return expected_ms > wait_ms * EXPECTED_WAIT_TOLERANCE_RATIO

    def _make_admitted(self, waited_ms: float) -> admission_decisions.Admitted:
        return admission_decisions.Admitted(
            waited_ms, self._level_control.is_refusing
        )

    def _make_queue_refusal(
        self, call: calls.Call, arrived_ms: float
    ) -> admission_decisions.Refused:
        remaining_ms = call.chain.get_remaining_ms()
        if remaining_ms <= self._service_times.get_expected_ms(call.policy):
            return admission_decisions.Refused(
                refusals.DeadlineExceeded(int(remaining_ms))
            )
        waited_ms = int(clock.get_now_ms() - arrived_ms)
        return admission_decisions.Refused(
            refusals.QueueTimeout(waited_ms, self._settings.retry_after_ms)
        )

    def _update_level(
        self, call_class: shares.CallClass, now_ms: float
    ) -> None:
        if not self._level_control.is_window_over(now_ms):
            return
        # The arriving call is counted as demand but is not queued yet.
        queued = self._shares.short_waiting - (not call_class.is_long_running)
        if self._level_control.close_window(now_ms, queued):
            for refused_call in self._queue.pop_below(
                self._level_control.min_admitted_rank
            ):
                refused_call.future.set_result(self._make_overloaded())

    def _acquire(self, call_class: shares.CallClass) -> None:
        self._shares.acquire(call_class)
        self._idle.clear()
        if not call_class.is_long_running:
            self._level_control.record_grant()

    def _release(self, call_class: shares.CallClass) -> None:
        self._shares.release(call_class)
        if self.in_progress == 0:
            self._idle.set()
        self._grant_free_slots()

    def _grant_free_slots(self) -> None:
        while self._queue and self.in_progress < self.limit:
            waiting = self._queue.pop_next(self._shares.can_acquire)
            if waiting is None:
                break
            self._acquire(waiting.call_class)
            waiting.future.set_result(None)
        self._level_control.record_queue(self._shares.short_waiting)


class Admission(scopes.Scope[admission_decisions.AdmissionDecision]):
    """The admission of one call; an admitted call holds its slot while open."""

    def __init__(
        self, controller: AdmissionController, call: calls.Call
    ) -> None:
        self._controller = controller
        self._call = call
        self._call_class: shares.CallClass | None = None
        self._decision: admission_decisions.AdmissionDecision | None = None

    async def _open(self) -> admission_decisions.AdmissionDecision:
        if self._controller.is_draining:
            return admission_decisions.Refused(
                refusals.Draining(self._call.service)
            )
        now_ms = clock.get_now_ms()
        self._call_class = self._controller.register_call(self._call, now_ms)
        self._decision = await self._controller.decide(
            self._call, self._call_class, now_ms
        )
        return self._decision

    async def _close(self, error: BaseException | None) -> None:
        call_class, self._call_class = self._call_class, None
        if call_class is not None:
            self._controller.finish_call(call_class, self._decision)


def _holds_slot(waiting: waiting_queue.WaitingCall) -> bool:
    """Returns whether a slot was granted to a call.

    That may be so although the wait then timed out or was cancelled.
    """
    future = waiting.future
    return future.done() and not future.cancelled() and future.result() is None
