"""Turning roots away for what their whole tree would load.

A root that is admitted costs calls at every service below it, and the whole
root is lost when one of these is refused. The instances of the narrowest
service therefore say up to which roots they can serve, and every daemon turns
the others away before anything was sent for them. The load pattern that this
answers: a burst or the crest of a wave, with a service deep in the chains as
the narrow place.

A level lies between 0, where all roots are admitted, and the number of
importances. Its whole part is an importance, the rest the part of the roots of
that importance that is turned away, by a hash of the root, so that all daemons
turn the same roots away.

Source: H. Zhou et al., "Overload Control for Scaling WeChat Microservices"
(DAGOR), SoCC 2018.
"""

import collections
from collections.abc import Callable
import dataclasses
import math

from kumquatridge import clock
from kumquatridge.admission import levels
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import refusals

ADMIT_ALL_LEVEL = 0.0
# With less of an importance admitted on average, what arrives doesn't tell its
# demand, and the last estimate stays.
LEAST_OPEN_RATIO = 0.05
# A gate that turns away less than this part of an importance counts as open.
LEAST_CLOSED_RATIO = 0.02
CLOSED = float(len(call_importance.Importance))
# A worker that refuses more of its calls fails most roots that need a few of
# them: of those that need four, three in four.
REFUSING_RATIO = 0.3
# The part of the most important roots that go on nevertheless.
PROBE_RATIO = 0.1
# How long a gate that closes stays closed at least, rounded up.
RETRY_MS = 1000
# Routes whose calls were seen within this time lead to the instance.
ROUTE_MEMORY_MS = 10_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class GateSettings:
    """How a gate moves.

    Every `interval_ms` the demand, were nothing turned away, is compared with
    what the worker can finish, and the gate goes `gain_ratio` of the way to
    where both are equal. `delay_intervals` is about the time from the door to
    the end of a chain, for which the gate's former places count.
    `demand_ratio` and `capacity_ratio` are the weights of the newest interval
    in both estimates. Of waiting calls beyond `queue_ratio` of the slots,
    `drain_ratio` is worked off each interval. What is told is forgotten after
    `lifetime_ms`.
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
    """The calls at a worker: those that hold a slot, and those that wait."""

    in_progress: int
    queued: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class Gate:
    """What an instance tells: its level, and whose calls it gets.

    `root_routes` are the routes of roots whose trees reach the instance;
    `downstream_level` is for these alone. `reported_at_ms` is on the local
    clock.
    """

    service: str
    instance: str
    level: float
    downstream_level: float
    root_routes: frozenset[str]
    reported_at_ms: float


def get_score(importance: int, root_id: str) -> float:
    """Returns a root's place; roots below a level are turned away."""
    bucket = levels.get_bucket(root_id)
    return importance + 1.0 - (bucket + 1) / levels.BUCKETS


class GateController:
    """The gate of one instance, moved by demand and capacity.

    What arrives was admitted at the door some time ago. Divided by the part
    that was admitted then, it tells the demand without a gate, so that the
    gate needn't search for its place.
    """

    def __init__(self, settings: GateSettings) -> None:
        importances = len(call_importance.Importance)
        self._settings = settings
        self._open = [1.0] * importances
        self._places: collections.deque[tuple[float, ...]] = collections.deque(
            [tuple(self._open)], maxlen=settings.delay_intervals
        )
        self._demand = [0.0] * importances
        self._arrivals = [0] * importances
        self._capacity = 0.0
        self._completions = 0
        self._refused = 0
        self._refused_ratio = 0.0
        self._running = 0.0
        self._samples = 0
        self._started_ms = 0.0
        self._routes: dict[str, float] = {}

    @property
    def level(self) -> float:
        """The level at which the gate stands."""
        for importance in reversed(range(len(self._open))):
            if self._open[importance] < 1.0:
                return importance + 1.0 - self._open[importance]
        return ADMIT_ALL_LEVEL

    @property
    def downstream_level(self) -> float:
        """The level for roots whose calls reach the instance.

        A worker that itself refuses a good part of its calls fails nearly
        every root that needs several of them. Of the most important ones a
        few go on, by which its recovery is seen.
        """
        if self._refused_ratio < REFUSING_RATIO:
            return self.level
        return CLOSED - PROBE_RATIO

    def get_root_routes(self, now_ms: float) -> frozenset[str]:
        """Returns the routes of the roots whose calls came of late."""
        oldest_ms = now_ms - ROUTE_MEMORY_MS
        self._routes = {
            route: seen_ms
            for route, seen_ms in self._routes.items()
            if seen_ms >= oldest_ms
        }
        return frozenset(self._routes)

    def record_arrival(self, call: calls.Call, now_ms: float) -> None:
        """Takes note of a call that wants a slot."""
        self._arrivals[call.chain.importance] += 1
        self._routes[call.chain.root_route] = now_ms

    def record_completion(self) -> None:
        """Takes note of a call that the worker has finished."""
        self._completions += 1

    def record_worker_refusal(self) -> None:
        """Takes note of a call that the worker itself refused."""
        self._refused += 1

    def update(self, load: WorkerLoad, now_ms: float) -> None:
        """Takes note of the calls at the worker; moves the gate when due."""
        self._running += load.in_progress
        self._samples += 1
        elapsed_ms = now_ms - self._started_ms
        if elapsed_ms < self._settings.interval_ms:
            return
        intervals = elapsed_ms / self._settings.interval_ms
        self._estimate_refusals()
        self._estimate_capacity(load, intervals)
        self._estimate_demand(intervals)
        self._move(load)
        self._started_ms = now_ms
        self._completions = 0
        self._refused = 0
        self._running = 0.0
        self._samples = 0
        self._arrivals = [0] * len(self._arrivals)

    def _estimate_refusals(self) -> None:
        """Estimates the part of the calls that the worker itself refuses."""
        ended = self._completions + self._refused
        if ended == 0:
            return
        change = self._refused / ended - self._refused_ratio
        self._refused_ratio += change * self._settings.demand_ratio

    def _estimate_capacity(self, load: WorkerLoad, intervals: float) -> None:
        """Estimates what all slots would finish in an interval."""
        running = self._running / self._samples
        if running <= 0.0 or self._completions == 0:
            return
        seen = self._completions / intervals * load.slots / running
        weight_ratio = self._settings.capacity_ratio
        if self._capacity == 0.0:
            weight_ratio = 1.0
        self._capacity += (seen - self._capacity) * weight_ratio

    def _estimate_demand(self, intervals: float) -> None:
        """Estimates what would arrive if nothing were turned away."""
        for importance, arrived in enumerate(self._arrivals):
            places = [place[importance] for place in self._places]
            open_ratio = sum(places) / len(places)
            if open_ratio < LEAST_OPEN_RATIO:
                continue
            seen = arrived / intervals / open_ratio
            change = seen - self._demand[importance]
            self._demand[importance] += change * self._settings.demand_ratio

    def _move(self, load: WorkerLoad) -> None:
        settings = self._settings
        surplus = max(0.0, load.queued - load.slots * settings.queue_ratio)
        room = max(0.0, self._capacity - surplus * settings.drain_ratio)
        if self._capacity == 0.0:
            room = math.inf
        for importance in reversed(range(len(self._open))):
            demand = self._demand[importance]
            goal = 1.0 if demand <= room else room / demand
            self._open[importance] = self._approach(importance, goal)
            room -= min(demand, room)
        self._places.append(tuple(self._open))

    def _approach(self, importance: int, goal: float) -> float:
        place = self._open[importance]
        place += (goal - place) * self._settings.gain_ratio
        return 1.0 if place > 1.0 - LEAST_CLOSED_RATIO else place


class GateTable:
    """The gates of all instances that this daemon has heard of."""

    def __init__(self, settings: GateSettings) -> None:
        self._settings = settings
        self._gates: dict[tuple[str, str], Gate] = {}

    def merge(self, gate: Gate) -> None:
        """Takes what an instance told, unless something newer is known."""
        key = (gate.service, gate.instance)
        known = self._gates.get(key)
        if known is None or known.reported_at_ms < gate.reported_at_ms:
            self._gates[key] = gate

    def get_unexpired(self, now_ms: float) -> tuple[Gate, ...]:
        """Returns the gates that were told within their lifetime."""
        oldest_ms = now_ms - self._settings.lifetime_ms
        stale = [
            key
            for key, one in self._gates.items()
            if one.reported_at_ms < oldest_ms
        ]
        for key in stale:
            del self._gates[key]
        return tuple(self._gates.values())

    def find_refusal(
        self,
        call: calls.Call,
        count_instances: Callable[[str], int],
    ) -> refusals.GateClosed | None:
        """Returns why a root is turned away, or None when it isn't.

        The level of a service is the mean over its instances; those that tell
        none are open. Workers that refuse count when all of them do: else the
        calls go to the others.
        """
        if not self._gates or call.chain.depth > 0:
            return None
        now_ms = clock.get_now_ms()
        score = get_score(call.chain.importance, call.chain.root_id)
        found: dict[str, list[Gate]] = {}
        for gate in self.get_unexpired(now_ms):
            if (
                gate.service == call.service
                or call.policy.route in gate.root_routes
            ):
                found.setdefault(gate.service, []).append(gate)
        for service, told in found.items():
            count = max(1, count_instances(service))
            level = sum(gate.level for gate in told) / count
            if service != call.service and len(told) >= count:
                nested_level = min(gate.downstream_level for gate in told)
                level = max(level, nested_level)
            if level > score:
                oldest_ms = min(gate.reported_at_ms for gate in told)
                return refusals.GateClosed(
                    service,
                    round(level, 3),
                    round(score, 3),
                    round(now_ms - oldest_ms),
                    RETRY_MS,
                )
        return None
