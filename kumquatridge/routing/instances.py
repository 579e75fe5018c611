"""Statistics of one instance, measured by this daemon."""

import dataclasses
import heapq

from kumquatridge.admission import levels
from kumquatridge.calls import load_reports
from kumquatridge.membership import member as members
from kumquatridge.routing import external_load
from kumquatridge.routing import routing_states

# Weight of the newest latency in the recent slowness.
SLOWNESS_WEIGHT_RATIO = 0.2
# Weight of the newest result in the failure ratio: ten results distinguish a
# worker that fails half of its calls from one that fails a few.
FAILURE_WEIGHT_RATIO = 0.1
# Past failures count less with time since the last result, and after this time
# no longer.
FAILURE_MEMORY_MS = 3000.0
# Extra cost of an instance that fails every call, as a multiple of the cost of
# one that never fails. A failed call is lost, or costs a retry and its time.
FAILURE_PENALTY_RATIO = 6.0
# The slowness decays with time since the last latency sample. After this time
# an instance counts as not slow.
SLOWNESS_MEMORY_MS = 1000.0
# A load report is used for this long after it arrived.
REPORT_LIFETIME_MS = 1000.0
# Factor on the cost of an instance without a free slot.
FULL_INSTANCE_PENALTY_RATIO = 8.0
# An instance in slow start is a candidate in at least this fraction of its
# draws.
MIN_SLOW_START_RATIO = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class InFlightCall:
    """An in-flight call.

    `typical_ms` is the typical latency of its route, 0 if unknown.
    """

    started_ms: float
    typical_ms: float


class InstanceStats:
    """In-flight calls, recent latencies and the last report of an instance.

    Latencies are stored as ratios to the typical latency of their route, so
    that an instance that happens to serve the longer calls does not look slow.
    All times are on the clock of this process.
    """

    def __init__(self, member: members.Member, first_seen_ms: float) -> None:
        self.member = member
        self.routing_state: routing_states.RoutingState = (
            routing_states.Active()
        )
        self.consecutive_failures = 0
        self._first_seen_ms = first_seen_ms
        # When the statistics were last reset.
        self._reset_ms = first_seen_ms
        # The recent slowness as of the last sample, recorded at `_measured_ms`.
        self._slowness_ratio = 1.0
        self._measured_ms = first_seen_ms
        # The failure ratio as of the last result, recorded at `_last_ended_ms`.
        self._failure_ratio = 0.0
        self._last_ended_ms = first_seen_ms
        self._sample_count = 0
        self._in_flight: dict[int, InFlightCall] = {}
        # When calls exceed their typical latency, with their handles. Entries
        # of ended calls are removed once they are at the top.
        self._due_heap: list[tuple[float, int]] = []
        self._last_handle = 0
        self._report: load_reports.LoadReport | None = None
        self._reported_ms = 0.0
        # The lowest rank that the instance admits by its last report, or the
        # lowest of all ranks while that report's level is ignored.
        self._min_rank = levels.ADMIT_ALL_RANK
        self._is_level_distrusted = False
        self._external_load = external_load.ExternalLoad()

    @property
    def sample_count(self) -> int:
        """Number of latency samples since the statistics were reset."""
        return self._sample_count

    @property
    def slowness_ratio(self) -> float:
        """Recent latency as a multiple of the typical one.

        Unlike `get_slowness_ratio`, it does not decay without samples.
        """
        return self._slowness_ratio

    def begin_call(self, call: InFlightCall) -> int:
        """Adds an in-flight call; returns the handle for `end_call`."""
        self._last_handle += 1
        self._in_flight[self._last_handle] = call
        if call.typical_ms > 0.0:
            due_ms = call.started_ms + call.typical_ms
            heapq.heappush(self._due_heap, (due_ms, self._last_handle))
        return self._last_handle

    def end_call(self, handle: int) -> None:
        """Removes an in-flight call."""
        del self._in_flight[handle]

    def record_latency_ratio(self, ratio: float, now_ms: float) -> None:
        """Records a latency, given as a multiple of the typical one."""
        self._sample_count += 1
        self._measured_ms = now_ms
        difference = ratio - self._slowness_ratio
        self._slowness_ratio += difference * SLOWNESS_WEIGHT_RATIO

    def record_overdue(self, ratio: float, now_ms: float) -> None:
        """Records a call that was abandoned without an answer.

        `ratio` is the time waited as a multiple of the typical latency. The
        answer would have taken longer still, so the ratio is a lower bound of
        the slowness of the instance.
        """
        decayed_ratio = self._get_decayed_slowness(now_ms)
        if ratio > decayed_ratio:
            self._sample_count += 1
            self._measured_ms = now_ms
            self._slowness_ratio = ratio

    def record_result(self, *, is_failure: bool, now_ms: float) -> None:
        """Updates the failure ratio with the result of a call."""
        sample_ratio = 1.0 if is_failure else 0.0
        decayed_ratio = self.get_failure_ratio(now_ms)
        self._failure_ratio = decayed_ratio + FAILURE_WEIGHT_RATIO * (
            sample_ratio - decayed_ratio
        )
        self._last_ended_ms = now_ms

    def get_failure_ratio(self, now_ms: float) -> float:
        """Returns the fraction of recent calls that failed.

        It decays to 0 within `FAILURE_MEMORY_MS` after the last result.
        """
        if self._failure_ratio == 0.0:
            return 0.0
        decayed_ratio = 1.0 - (now_ms - self._last_ended_ms) / FAILURE_MEMORY_MS
        return self._failure_ratio * max(0.0, decayed_ratio)

    def has_started_since_reset(self, started_ms: float) -> bool:
        """Returns whether a call started after the last reset.

        `started_ms` is the time at which the call started.
        """
        return started_ms >= self._reset_ms

    def reset_statistics(self, now_ms: float) -> None:
        """Restarts all measurements after a change of the routing state."""
        self._reset_ms = now_ms
        self._sample_count = 0
        self._slowness_ratio = 1.0
        self._failure_ratio = 0.0
        self.consecutive_failures = 0

    def record_report(
        self,
        report: load_reports.LoadReport,
        now_ms: float,
        *,
        has_ended: bool = False,
    ) -> None:
        """Stores the load report that came with an answer.

        `has_ended` is set if the answered call ran: the report still counts
        that call, although it has ended.
        """
        self._external_load.record(
            report.in_progress - has_ended - len(self._in_flight),
            report.latency_ms,
            now_ms,
        )
        self._report = report
        self._reported_ms = now_ms
        self._min_rank = levels.get_min_admitted_rank(report)
        if self._is_level_distrusted:
            self._min_rank = levels.ADMIT_ALL_RANK

    def distrust_level(self) -> None:
        """Ignores the reported admission level until `trust_level` is called.

        Called when the instance ran a call that its level refuses.
        """
        self._is_level_distrusted = True

    def trust_level(self) -> None:
        """Uses the reported admission level again.

        Called when the instance refused a call for overload.
        """
        self._is_level_distrusted = False

    def get_refusing_report(
        self, rank: int, now_ms: float
    ) -> load_reports.LoadReport | None:
        """Returns the report if it is fresh and refuses calls of `rank`."""
        if rank >= self._min_rank or not self._is_report_fresh(now_ms):
            return None
        return self._report

    def get_slow_start_ratio(self, now_ms: float) -> float:
        """Returns in which fraction of its draws the instance is a candidate.

        In slow start, while the instance warms up, the fraction grows linearly.
        The warm-up time starts when this daemon first sees the instance. The
        fraction is 1 or more once that time has passed.
        """
        announcement = self.member.announcement
        if announcement is None or announcement.warm_up_ms == 0:
            return 1.0
        age_ms = now_ms - self._first_seen_ms
        return max(MIN_SLOW_START_RATIO, age_ms / announcement.warm_up_ms)

    def get_load_ratio(self, now_ms: float) -> float:
        """Returns the calls at the instance as a fraction of its limit.

        Queued calls are included, so that the fraction can exceed 1. Without a
        fresh report only the calls of this daemon are counted, as a fraction of
        the announced slots.
        """
        report = self._report
        if report is not None and self._is_report_fresh(now_ms):
            call_count = self._external_load.estimate(now_ms) + len(
                self._in_flight
            )
            return call_count / max(1, report.limit)
        announcement = self.member.announcement
        slots = announcement.slots if announcement else 1
        return len(self._in_flight) / max(1, slots)

    def get_slowness_ratio(self, now_ms: float) -> float:
        """Returns the current slowness as a multiple of the typical latency.

        It is at least 1: load alone decides among instances that are not slow.
        A call that exceeds the typical latency counts even while it is in
        flight.
        """
        return max(
            1.0,
            self._get_decayed_slowness(now_ms),
            self._get_overdue_ratio(now_ms),
        )

    def get_cost_ratio(self, now_ms: float) -> float:
        """Returns the cost of another call at this instance; lower is better.

        It is the slowness ratio times one plus the load ratio, with penalties
        for recent failures and for having no free slot.
        """
        load_ratio = self.get_load_ratio(now_ms)
        slowness_ratio = self.get_slowness_ratio(now_ms)
        cost_ratio = slowness_ratio * (1.0 + load_ratio)
        cost_ratio *= 1.0 + FAILURE_PENALTY_RATIO * self.get_failure_ratio(
            now_ms
        )
        if load_ratio >= 1.0:
            return cost_ratio * FULL_INSTANCE_PENALTY_RATIO
        return cost_ratio

    def get_report_age_ms(self, now_ms: float) -> float | None:
        """Returns the age of the last load report, or None if there is none."""
        return None if self._report is None else now_ms - self._reported_ms

    def _is_report_fresh(self, now_ms: float) -> bool:
        return now_ms - self._reported_ms < REPORT_LIFETIME_MS

    def _get_decayed_slowness(self, now_ms: float) -> float:
        """Returns the slowness, which goes back to 1 without samples."""
        weight_ratio = 1.0 - (now_ms - self._measured_ms) / SLOWNESS_MEMORY_MS
        if weight_ratio <= 0.0:
            return 1.0
        return 1.0 + (self._slowness_ratio - 1.0) * weight_ratio

    def _get_overdue_ratio(self, now_ms: float) -> float:
        """Returns the age of the in-flight call that was due first.

        The age is a multiple of the typical latency of the call: 1 when the
        call is due. It is 0 without in-flight calls of known typical latency.
        """
        while self._due_heap and self._due_heap[0][1] not in self._in_flight:
            heapq.heappop(self._due_heap)
        if not self._due_heap:
            return 0.0
        call = self._in_flight[self._due_heap[0][1]]
        return (now_ms - call.started_ms) / call.typical_ms
