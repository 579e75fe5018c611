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

Sources: H. Zhou et al., "Overload Control for Scaling WeChat Microservices"
(DAGOR), SoCC 2018; V. Jacobson, "Congestion Avoidance and Control", 1988 (a
quick decrease, then a slow increase).
"""

from collections.abc import Callable
import dataclasses

from kumquatridge.admission import levels
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance as call_importance

OPEN = 0.0
CLOSED = float(len(call_importance.Importance))


@dataclasses.dataclass(frozen=True, slots=True)
class GateSettings:
    """How fast a gate moves.

    Every `interval_ms` it is judged whether calls waited all the while. A
    gate that was raised stays for `hold_ms`, about the time until roots turned
    away are missed at the end of their chains. It then opens by `open_ratio`
    of an importance each interval. One step takes at most `most_ratio` of the
    demand away. What is told is forgotten after `lifetime_ms`.
    """

    interval_ms: float = 100.0
    hold_ms: float = 300.0
    open_ratio: float = 0.03
    least_ratio: float = 0.05
    most_ratio: float = 0.4
    lifetime_ms: float = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Gate:
    """What an instance tells: its level, and whose calls it gets.

    `routes` are the routes of roots whose trees reach the instance. `told_ms`
    is on the local clock.
    """

    service: str
    instance: str
    level: float
    routes: frozenset[str]
    told_ms: float


def get_score(importance: int, root_id: str) -> float:
    """Returns a root's place; roots below a level are turned away."""
    bucket = levels.get_bucket(root_id)
    return importance + 1.0 - (bucket + 1) / levels.BUCKETS


class GateControl:
    """The gate of one instance, moved by its queue."""

    def __init__(self, settings: GateSettings) -> None:
        self._settings = settings
        self._level = OPEN
        self._started_ms = 0.0
        self._raised_ms = float("-inf")
        self._arrivals = [0] * len(call_importance.Importance)
        self._refused = 0
        self._least_queued: int | None = None
        self._routes: dict[str, float] = {}

    @property
    def level(self) -> float:
        """The level at which the gate stands."""
        return self._level

    def get_routes(self, now_ms: float) -> frozenset[str]:
        """Returns the routes of the roots whose calls came of late."""
        oldest_ms = now_ms - 10 * self._settings.lifetime_ms
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

    def record_refusal(self) -> None:
        """Takes note of a call that got no slot."""
        self._refused += 1

    def record_queue(self, queued: int, now_ms: float) -> None:
        """Takes note of how many calls wait; moves the level when due."""
        if self._least_queued is None or queued < self._least_queued:
            self._least_queued = queued
        if now_ms - self._started_ms >= self._settings.interval_ms:
            self._move(now_ms)
            self._started_ms = now_ms
            self._arrivals = [0] * len(call_importance.Importance)
            self._refused = 0
            self._least_queued = queued

    def _move(self, now_ms: float) -> None:
        excess = (self._least_queued or 0) + self._refused
        if excess > 0:
            if now_ms - self._raised_ms >= self._settings.hold_ms:
                self._raise(excess)
                self._raised_ms = now_ms
        elif now_ms - self._raised_ms >= self._settings.hold_ms:
            elapsed_ms = now_ms - self._started_ms
            intervals = elapsed_ms / self._settings.interval_ms
            step = self._settings.open_ratio * intervals
            self._level = max(OPEN, self._level - step)

    def _raise(self, excess: int) -> None:
        """Takes as much demand away as waited or was refused."""
        settings = self._settings
        total = max(1, sum(self._arrivals))
        ratio = min(
            settings.most_ratio, max(settings.least_ratio, excess / total)
        )
        left = ratio * total
        for importance, arrived in enumerate(self._arrivals):
            floor = float(importance)
            if self._level >= floor + 1.0 or arrived == 0:
                continue
            inside = max(0.0, self._level - floor)
            taken = min(1.0, left / arrived)
            self._level = floor + inside + (1.0 - inside) * taken
            left -= arrived * taken
            if left <= 0.0:
                return


class GateBoard:
    """The gates of all instances that this daemon has heard of."""

    def __init__(self, settings: GateSettings) -> None:
        self._settings = settings
        self._gates: dict[tuple[str, str], Gate] = {}

    def put(self, gate: Gate) -> None:
        """Takes what an instance told, unless something newer is known."""
        key = (gate.service, gate.instance)
        known = self._gates.get(key)
        if known is None or known.told_ms < gate.told_ms:
            self._gates[key] = gate

    def get_fresh(self, now_ms: float) -> tuple[Gate, ...]:
        """Returns the gates that were told within their lifetime."""
        oldest_ms = now_ms - self._settings.lifetime_ms
        stale = [
            key for key, one in self._gates.items() if one.told_ms < oldest_ms
        ]
        for key in stale:
            del self._gates[key]
        return tuple(self._gates.values())

    def find_closed(
        self,
        call: calls.Call,
        count_instances: Callable[[str], int],
        now_ms: float,
    ) -> str | None:
        """Returns the service whose gate turns a root away, if any.

        The level of a service is the mean over its instances; those that tell
        none are open.
        """
        if not self._gates or call.chain.depth > 0:
            return None
        score = get_score(call.chain.importance, call.chain.root_id)
        sums: dict[str, float] = {}
        for gate in self.get_fresh(now_ms):
            if gate.service == call.service or call.policy.route in gate.routes:
                sums[gate.service] = sums.get(gate.service, 0.0) + gate.level
        for service, total in sums.items():
            if total / max(1, count_instances(service)) > score:
                return service
        return None
