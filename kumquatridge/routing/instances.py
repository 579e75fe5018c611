"""What this daemon itself measured of one instance."""

import dataclasses
import heapq

from kumquatridge.admission import levels
from kumquatridge.calls import load_reports
from kumquatridge.membership import member as members
from kumquatridge.routing import foreign_load
from kumquatridge.routing import standings

SLOWNESS_WEIGHT_RATIO = 0.2
# Weight of the newest answer in the part that fails: ten answers tell a worker
# that fails half of its calls from one that fails a few.
FAILURE_WEIGHT_RATIO = 0.1
# A failing instance that got no calls for this long is tried again in full.
FAILURE_MEMORY_MS = 3000.0
# What one that always fails costs, as a multiple of one that never does. A call
# sent there is lost, or costs a retry and its time.
FAILURE_PENALTY_RATIO = 6.0
FORGET_MS = 1000.0
REPORT_LIFETIME_MS = 1000.0
FULL_PENALTY_RATIO = 8.0
LEAST_RAMP_RATIO = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Flight:
    """A call in flight; `typical_ms` is what such a call takes, 0 unknown."""

    started_ms: float
    typical_ms: float


class InstanceStats:
    """Calls in flight, recent times and the last report of an instance.

    Times are kept as ratios to the typical time of each route, so that an
    instance that happens to serve the longer calls doesn't look slow.
    """

    def __init__(self, member: members.Member, first_seen_ms: float) -> None:
        self.member = member
        self.standing: standings.Standing = standings.Active()
        self.failures = 0
        self._first_seen_ms = first_seen_ms
        self._measured_since_ms = first_seen_ms
        self._slowness_ratio = 1.0
        self._measured_ms = first_seen_ms
        self._failure_ratio = 0.0
        self._ended_ms = first_seen_ms
        self._samples = 0
        self._flights: dict[int, Flight] = {}
        self._due: list[tuple[float, int]] = []
        self._flights_begun = 0
        self._report: load_reports.LoadReport | None = None
        self._reported_ms = 0.0
        self._least_rank = levels.ADMIT_ALL_RANK
        self._is_level_doubted = False
        self._load = foreign_load.ForeignLoad()

    @property
    def samples(self) -> int:
        """Answer times taken since the last change of standing."""
        return self._samples

    @property
    def slowness_ratio(self) -> float:
        """Recent answer times as a multiple of what is typical."""
        return self._slowness_ratio

    def begin(self, flight: Flight) -> int:
        """Takes note of a call sent; returns the handle to end it with."""
        self._flights_begun += 1
        self._flights[self._flights_begun] = flight
        if flight.typical_ms > 0.0:
            due_ms = flight.started_ms + flight.typical_ms
            heapq.heappush(self._due, (due_ms, self._flights_begun))
        return self._flights_begun

    def end(self, handle: int) -> None:
        """Takes note that a call is in flight no more."""
        del self._flights[handle]

    def record_ratio(self, ratio: float, now_ms: float) -> None:
        """Takes an answer time as a multiple of the typical one."""
        self._samples += 1
        self._measured_ms = now_ms
        change_ratio = ratio - self._slowness_ratio
        self._slowness_ratio += change_ratio * SLOWNESS_WEIGHT_RATIO

    def record_overdue(self, ratio: float, now_ms: float) -> None:
        """Takes a call that was given up at a multiple of the typical time.

        Its answer would have taken longer still, so that the ratio is the
        least that the instance's slowness comes to.
        """
        remembered_ratio = self._get_remembered_slowness(now_ms)
        if ratio > remembered_ratio:
            self._samples += 1
            self._measured_ms = now_ms
            self._slowness_ratio = ratio

    def record_ending(self, *, is_failure: bool, now_ms: float) -> None:
        """Takes note of whether a call came to a good end."""
        seen = 1.0 if is_failure else 0.0
        left_ratio = self.get_failure_ratio(now_ms)
        self._failure_ratio = left_ratio + FAILURE_WEIGHT_RATIO * (
            seen - left_ratio
        )
        self._ended_ms = now_ms

    def get_failure_ratio(self, now_ms: float) -> float:
        """Returns the part of recent calls that failed, less as time goes."""
        if self._failure_ratio == 0.0:
            return 0.0
        left_ratio = 1.0 - (now_ms - self._ended_ms) / FAILURE_MEMORY_MS
        return self._failure_ratio * max(0.0, left_ratio)

    def counts(self, started_ms: float) -> bool:
        """Tells whether a call began after the last change of standing."""
        return started_ms >= self._measured_since_ms

    def forget_times(self, now_ms: float) -> None:
        """Starts measuring anew after a change of standing."""
        self._measured_since_ms = now_ms
        self._samples = 0
        self._slowness_ratio = 1.0
        self._failure_ratio = 0.0
        self.failures = 0

    def record_report(
        self,
        report: load_reports.LoadReport,
        now_ms: float,
        *,
        has_ended: bool = False,
    ) -> None:
        """Takes what the instance said of itself with an answer.

        `has_ended` tells that the report still counts the call that it came
        with, which has left its slot since.
        """
        self._load.record(
            report.in_progress - has_ended - len(self._flights),
            report.latency_ms,
            now_ms,
        )
        self._report = report
        self._reported_ms = now_ms
        self._least_rank = levels.get_min_admitted_rank(report)
        if self._is_level_doubted:
            self._least_rank = levels.ADMIT_ALL_RANK

    def doubt_level(self) -> None:
        """Takes note that a call ran that the told level refuses."""
        self._is_level_doubted = True

    def trust_level(self) -> None:
        """Takes note that the instance does refuse calls."""
        self._is_level_doubted = False

    def get_refusing_report(
        self, rank: int, now_ms: float
    ) -> load_reports.LoadReport | None:
        """Returns the fresh report by which a call would be refused."""
        if rank >= self._least_rank or not self._is_report_fresh(now_ms):
            return None
        return self._report

    def get_ramp_ratio(self, now_ms: float) -> float:
        """Returns the part of its calls that a cold instance gets."""
        announcement = self.member.announcement
        if announcement is None or announcement.warm_up_ms == 0:
            return 1.0
        age_ms = now_ms - self._first_seen_ms
        return max(LEAST_RAMP_RATIO, age_ms / announcement.warm_up_ms)

    def get_load_ratio(self, now_ms: float) -> float:
        """Returns the calls at the instance as a part of its limit."""
        report = self._report
        if report is not None and self._is_report_fresh(now_ms):
            load = self._load.get(now_ms) + len(self._flights)
            return load / max(1, report.limit)
        announcement = self.member.announcement
        slots = announcement.slots if announcement else 1
        return len(self._flights) / max(1, slots)

    def get_slowness_ratio(self, now_ms: float) -> float:
        """Returns how many times slower than typical the instance is now.

        Never less than 1: of instances that aren't slow, load alone decides.
        A call in flight for longer than is typical counts before its answer
        is here.
        """
        return max(
            1.0,
            self._get_remembered_slowness(now_ms),
            self._get_age_ratio(now_ms),
        )

    def get_cost_ratio(self, now_ms: float) -> float:
        """Returns what another call would cost here; lower is better.

        Recent slowness times load, with penalties for recent failures and
        when there is no free slot.
        """
        load_ratio = self.get_load_ratio(now_ms)
        slowness_ratio = self.get_slowness_ratio(now_ms)
        cost_ratio = slowness_ratio * (1.0 + load_ratio)
        cost_ratio *= 1.0 + FAILURE_PENALTY_RATIO * self.get_failure_ratio(
            now_ms
        )
        if load_ratio >= 1.0:
            return cost_ratio * FULL_PENALTY_RATIO
        return cost_ratio

    def get_report_age_ms(self, now_ms: float) -> float | None:
        """Returns how old the last report is, None before any."""
        return None if self._report is None else now_ms - self._reported_ms

    def _is_report_fresh(self, now_ms: float) -> bool:
        return now_ms - self._reported_ms < REPORT_LIFETIME_MS

    def _get_remembered_slowness(self, now_ms: float) -> float:
        weight_ratio = 1.0 - (now_ms - self._measured_ms) / FORGET_MS
        if weight_ratio <= 0.0:
            return 1.0
        return 1.0 + (self._slowness_ratio - 1.0) * weight_ratio

    def _get_age_ratio(self, now_ms: float) -> float:
        """Returns the age of the call that was due first, 1 when due."""
        while self._due and self._due[0][1] not in self._flights:
            heapq.heappop(self._due)
        if not self._due:
            return 0.0
        flight = self._flights[self._due[0][1]]
        return (now_ms - flight.started_ms) / flight.typical_ms
