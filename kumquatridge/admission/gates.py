"""Gates: refusing roots early on behalf of overloaded downstream services.

A root is the first call of a chain. An admitted root causes calls at every
service below it, and the whole root fails when one of these is refused. The
instances of the bottleneck service therefore publish the level below which they
cannot serve roots, and every daemon refuses those roots before it sends
anything for them. Gates handle bursts and load peaks whose bottleneck lies deep
in the call chains.

The level of a gate lies between 0, where all roots are admitted, and the number
of importances. Its integer part is an importance; its fractional part is the
share of the roots of that importance that is refused. Roots are selected by a
hash of the root id, so that all daemons refuse the same ones. This is not the
admission level of `levels`, which is a rank and applies to calls at one worker.

Source: H. Zhou et al., "Overload Control for Scaling WeChat Microservices"
(DAGOR), SoCC 2018.
"""

import collections
from collections.abc import Callable, Iterable
import dataclasses
import itertools
import math

from kumquatridge import clock
from kumquatridge.admission import levels
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import refusals

ADMIT_ALL_LEVEL = 0.0
# Below this mean admitted share of an importance, arrivals are too few to
# estimate its demand, and the last estimate is kept.
MIN_ADMITTED_RATIO = 0.05
# A gate that would refuse less than this share of an importance admits it all.
MIN_REFUSED_RATIO = 0.02
# Above this share of refused calls, a worker fails most roots that need several
# of them: at 0.3, three in four of the roots that need four calls.
MAX_WORKER_REFUSAL_RATIO = 0.3
# The retry-after time sent with refusals. Slightly longer than the shortest
# time for which a gate stays closed.
RETRY_AFTER_MS = 1000
# The gates of a service are evaluated anew after this time. Well below the
# interval of reports between daemons.
SUMMARY_INTERVAL_MS = 50.0
# The gate of an instance applies to a root route for this long after a call of
# such a root last arrived at the instance.
ROUTE_RETENTION_MS = 10_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class GateSettings:
    """Parameters of the control loop of a gate.

    Every `interval_ms` the demand without any refusals is compared with the
    capacity of the worker, and the gate moves by `gain_ratio` of the distance
    to the level at which both are equal. `delay_intervals` approximates the
    time from the arrival of a root to the end of its chain, as a number of
    intervals; the admitted shares of these past intervals are averaged to
    estimate the demand. `demand_ratio` is the weight of the newest interval in
    the estimated demand and in the estimated share of calls that the worker
    refuses, `capacity_ratio` its weight in the estimated capacity. If more
    calls are queued than `queue_ratio` of the limit, the share `drain_ratio` of
    the excess is deducted from the capacity, so that the queue is drained. A
    published gate expires after `lifetime_ms`.
    """

    interval_ms: float = 100.0
    gain_ratio: float = 0.5
    delay_intervals: int = 4
    demand_ratio: float = 0.3
    capacity_ratio: float = 0.2
    queue_ratio: float = 0.3
    drain_ratio: float = 0.2
    lifetime_ms: float = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerLoad:
    """The calls at a worker that hold a slot or wait for one.

    `limit` is the number of calls that may hold a slot concurrently.
    """

    in_progress: int
    queued: int
    limit: int


@dataclasses.dataclass(frozen=True, slots=True)
class Gate:
    """The published gate of an instance.

    `root_routes` are the routes of the roots whose call trees reach the
    instance. `level` applies to these roots and to all roots sent to `service`
    itself, `downstream_level` only to those of them sent to another service.
    `reported_at_ms` is the time at which the instance published the gate, on
    the clock of this process.
    """

    service: str
    instance: str
    level: float
    downstream_level: float
    root_routes: frozenset[str]
    reported_at_ms: float


def get_score(importance: int, root_id: str) -> float:
    """Returns the score of a root; a gate refuses scores below its level.

    The score is at least `importance` and less than `importance + 1`.
    """
    bucket = levels.get_bucket(root_id)
    return importance + 1.0 - (bucket + 1) / levels.BUCKETS


class GateController:
    """Controls the gate of one instance from its demand and capacity.

    Arriving calls belong to roots that were admitted some time earlier. The
    arrivals divided by the share admitted at that time give the demand without
    a gate. The level follows from demand and capacity directly and need not be
    found by trial steps.
    """

    def __init__(self, settings: GateSettings) -> None:
        importances = len(call_importance.Importance)
        self._settings = settings
        # The admitted share of the roots of each importance: now, and at the
        # end of each of the last intervals.
        self._admitted_ratios = [1.0] * importances
        self._ratio_history: collections.deque[tuple[float, ...]] = (
            collections.deque(
                [tuple(self._admitted_ratios)], maxlen=settings.delay_intervals
            )
        )
        # Demand and capacity are in calls per interval, the demand for each
        # importance. The capacity is 0 until it has been estimated.
        self._demand = [0.0] * importances
        self._arrivals = [0] * importances
        self._capacity = 0.0
        self._completions = 0
        self._worker_refusals = 0
        self._worker_refusal_ratio = 0.0
        # The calls in progress, summed over the samples of this interval.
        self._in_progress_sum = 0.0
        self._sample_count = 0
        self._interval_started_ms = 0.0
        # When a call of each root route last arrived.
        self._route_seen_ms: dict[str, float] = {}

    @property
    def level(self) -> float:
        """The level at which the admitted demand equals the capacity."""
        for importance in reversed(range(len(self._admitted_ratios))):
            if self._admitted_ratios[importance] < 1.0:
                return importance + 1.0 - self._admitted_ratios[importance]
        return ADMIT_ALL_LEVEL

    def get_downstream_level(self, retry_level: float) -> float:
        """Returns the level for roots whose nested calls reach the instance.

        `retry_level` is the lowest score of a root whose calls get retries (see
        `offers`). If the worker itself refuses a large share of its calls,
        nearly every root below that score that needs several of them fails.
        """
        if self._worker_refusal_ratio < MAX_WORKER_REFUSAL_RATIO:
            return self.level
        return max(self.level, retry_level)

    def get_root_routes(self, now_ms: float) -> frozenset[str]:
        """Returns the routes of the roots whose calls arrived recently."""
        oldest_ms = now_ms - ROUTE_RETENTION_MS
        self._route_seen_ms = {
            route: seen_ms
            for route, seen_ms in self._route_seen_ms.items()
            if seen_ms >= oldest_ms
        }
        return frozenset(self._route_seen_ms)

    def record_arrival(self, call: calls.Call, now_ms: float) -> None:
        """Counts a call that requests a slot."""
        self._arrivals[call.chain.importance] += 1
        self._route_seen_ms[call.chain.root_route] = now_ms

    def record_completion(self) -> None:
        """Counts a call that the worker has finished."""
        self._completions += 1

    def record_worker_refusal(self) -> None:
        """Counts a call that the worker itself refused."""
        self._worker_refusals += 1

    def update(self, load: WorkerLoad, now_ms: float) -> None:
        """Samples the load of the worker; moves the gate once an interval."""
        self._in_progress_sum += load.in_progress
        self._sample_count += 1
        elapsed_ms = now_ms - self._interval_started_ms
        if elapsed_ms < self._settings.interval_ms:
            return
        intervals = elapsed_ms / self._settings.interval_ms
        self._estimate_worker_refusals()
        self._estimate_capacity(load, intervals)
        self._estimate_demand(intervals)
        self._adjust_admitted_ratios(load)
        self._interval_started_ms = now_ms
        self._completions = 0
        self._worker_refusals = 0
        self._in_progress_sum = 0.0
        self._sample_count = 0
        self._arrivals = [0] * len(self._arrivals)

    def _estimate_worker_refusals(self) -> None:
        """Updates the estimated share of calls that the worker refuses."""
        ended = self._completions + self._worker_refusals
        if ended == 0:
            return
        change = self._worker_refusals / ended - self._worker_refusal_ratio
        self._worker_refusal_ratio += change * self._settings.demand_ratio

    def _estimate_capacity(self, load: WorkerLoad, intervals: float) -> None:
        """Updates the estimated calls per interval with all slots in use.

        `intervals` is the time since the last update, in intervals.
        """
        mean_in_progress = self._in_progress_sum / self._sample_count
        if mean_in_progress <= 0.0 or self._completions == 0:
            return
        observed = self._completions / intervals * load.limit / mean_in_progress
        weight_ratio = self._settings.capacity_ratio
        if self._capacity == 0.0:
            weight_ratio = 1.0
        self._capacity += (observed - self._capacity) * weight_ratio

    def _estimate_demand(self, intervals: float) -> None:
        """Updates the estimated arrivals per interval without refusals.

        `intervals` is the time since the last update, in intervals.
        """
        for importance, arrived in enumerate(self._arrivals):
            recent_ratios = [
                ratios[importance] for ratios in self._ratio_history
            ]
            admitted_ratio = sum(recent_ratios) / len(recent_ratios)
            if admitted_ratio < MIN_ADMITTED_RATIO:
                continue
            observed = arrived / intervals / admitted_ratio
            change = observed - self._demand[importance]
            self._demand[importance] += change * self._settings.demand_ratio

    def _adjust_admitted_ratios(self, load: WorkerLoad) -> None:
        """Divides the capacity among the importances, the highest first."""
        settings = self._settings
        excess_queued = max(
            0.0, load.queued - load.limit * settings.queue_ratio
        )
        spare_capacity = max(
            0.0, self._capacity - excess_queued * settings.drain_ratio
        )
        # Admits everything while the capacity has not been estimated.
        if self._capacity == 0.0:
            spare_capacity = math.inf
        for importance in reversed(range(len(self._admitted_ratios))):
            demand = self._demand[importance]
            target_ratio = (
                1.0 if demand <= spare_capacity else spare_capacity / demand
            )
            self._admitted_ratios[importance] = self._step_towards(
                importance, target_ratio
            )
            spare_capacity -= min(demand, spare_capacity)
        self._ratio_history.append(tuple(self._admitted_ratios))

    def _step_towards(self, importance: int, target_ratio: float) -> float:
        """Returns the new admitted share of an importance."""
        ratio = self._admitted_ratios[importance]
        ratio += (target_ratio - ratio) * self._settings.gain_ratio
        return 1.0 if ratio > 1.0 - MIN_REFUSED_RATIO else ratio


@dataclasses.dataclass(frozen=True, slots=True)
class _ServiceSummary:
    """What the gates of one service mean for roots.

    `level_sum` is the sum of the levels, `gate_count` the number of gates, and
    `downstream_level` the lowest of the downstream levels. `root_routes` has
    the routes of all gates. The oldest gate was reported at `oldest_ms`, and
    the summary is computed anew from `expires_ms` on.
    """

    level_sum: float
    gate_count: int
    downstream_level: float
    root_routes: frozenset[str]
    oldest_ms: float
    expires_ms: float


class _ServiceGates:
    """The last published gate of each known instance of one service."""

    def __init__(self, lifetime_ms: float) -> None:
        self._lifetime_ms = lifetime_ms
        self._gates: dict[str, Gate] = {}
        self._summary: _ServiceSummary | None = None

    def merge(self, gate: Gate) -> None:
        """Stores the gate of an instance unless a newer one is known."""
        previous = self._gates.get(gate.instance)
        if previous is None:
            # Roots must not wait for the next summary to see the first gate.
            self._summary = None
        if previous is None or previous.reported_at_ms < gate.reported_at_ms:
            self._gates[gate.instance] = gate

    def get_unexpired(self, now_ms: float) -> Iterable[Gate]:
        """Returns the gates that have not expired; discards the expired."""
        oldest_ms = now_ms - self._lifetime_ms
        expired = [
            instance
            for instance, gate in self._gates.items()
            if gate.reported_at_ms < oldest_ms
        ]
        for instance in expired:
            del self._gates[instance]
        return self._gates.values()

    def get_summary(self, now_ms: float) -> _ServiceSummary | None:
        """Returns the summary, None if all gates have expired.

        It may be `SUMMARY_INTERVAL_MS` old, so that a root costs the same
        whatever the number of instances.
        """
        summary = self._summary
        if summary is None or now_ms >= summary.expires_ms:
            summary = self._summarise(now_ms)
            self._summary = summary
        return summary

    def _summarise(self, now_ms: float) -> _ServiceSummary | None:
        unexpired = tuple(self.get_unexpired(now_ms))
        if not unexpired:
            return None
        oldest_ms = min(gate.reported_at_ms for gate in unexpired)
        return _ServiceSummary(
            sum(gate.level for gate in unexpired),
            len(unexpired),
            min(gate.downstream_level for gate in unexpired),
            frozenset().union(*(gate.root_routes for gate in unexpired)),
            oldest_ms,
            min(now_ms + SUMMARY_INTERVAL_MS, oldest_ms + self._lifetime_ms),
        )


class GateTable:
    """The last published gate of each known instance, by service."""

    def __init__(self, settings: GateSettings) -> None:
        self._settings = settings
        self._services: dict[str, _ServiceGates] = {}

    def merge(self, gate: Gate) -> None:
        """Stores the gate of an instance unless a newer one is known."""
        service_gates = self._services.get(gate.service)
        if service_gates is None:
            service_gates = _ServiceGates(self._settings.lifetime_ms)
            self._services[gate.service] = service_gates
        service_gates.merge(gate)

    def get_unexpired(self, now_ms: float) -> tuple[Gate, ...]:
        """Returns the gates that have not expired; discards the expired."""
        return tuple(
            itertools.chain.from_iterable(
                service_gates.get_unexpired(now_ms)
                for service_gates in self._services.values()
            )
        )

    def find_refusal(
        self,
        call: calls.Call,
        count_instances: Callable[[str], int],
    ) -> refusals.GateClosed | None:
        """Returns why a root is refused, or None if all gates admit it.

        `count_instances` returns the number of instances of a service. The
        level of a service is the mean over its instances; one without a
        reported gate counts as admitting all roots. The lowest downstream level
        of the instances applies too, but only if every instance reports a gate,
        since the calls can otherwise go to the remaining instances.
        """
        if not self._services or call.chain.depth > 0:
            return None
        now_ms = clock.get_now_ms()
        score = get_score(call.chain.importance, call.chain.root_id)
        for service, service_gates in self._services.items():
            summary = service_gates.get_summary(now_ms)
            if summary is None:
                continue
            is_direct = service == call.service
            if not is_direct and call.policy.route not in summary.root_routes:
                continue
            instance_count = max(1, count_instances(service))
            level = summary.level_sum / instance_count
            if not is_direct and summary.gate_count >= instance_count:
                level = max(level, summary.downstream_level)
            if level > score:
                return refusals.GateClosed(
                    service,
                    round(level, 3),
                    round(score, 3),
                    round(now_ms - summary.oldest_ms),
                    RETRY_AFTER_MS,
                )
        return None
