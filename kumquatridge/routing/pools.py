"""The instances of one service, grouped by their routing state.

Routing states are defined in `routing_states`. A local instance is one in the
data centre of this daemon, a remote one is in another. The lists are rebuilt
only when the members or a routing state change.
"""

from collections.abc import Sequence
import dataclasses

from kumquatridge.membership import member as members
from kumquatridge.routing import instances
from kumquatridge.routing import routing_states
from kumquatridge.routing import suitability

# An instance whose latency exceeds this multiple of the typical one is ejected,
# if there are at least `MIN_SAMPLES` since the last reset of its statistics.
EJECTION_SLOWNESS_RATIO = 4.0
MIN_SAMPLES = 5
# An instance is ejected when it reaches this number of failures.
MAX_CONSECUTIVE_FAILURES = 5
# The time from the ejection to the first probe. It doubles with each failed
# probe, up to `MAX_PROBE_INTERVAL_MS`.
FIRST_PROBE_INTERVAL_MS = 100.0
# A call that must not be resent probes an instance only if the probe has been
# due for this long.
PROBE_OVERDUE_MS = 1000.0
MAX_PROBE_INTERVAL_MS = 800.0
# Consecutive successful probes after which an instance is readmitted.
PROBES_TO_READMIT = 2
# Largest fraction of the alive local instances that may be ejected.
MAX_EJECTED_RATIO = 0.5


class ServicePool:
    """Tracks the instances of a service and ejects outliers.

    At most half of the alive local instances are ejected at a time. None is
    ejected for being slow while all other regular local ones are full.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._stats: dict[str, instances.InstanceStats] = {}
        self._local_members: Sequence[members.Member] | None = None
        self._remote_members: Sequence[members.Member] | None = None
        # Alive local instances that are not drained, ejected ones included.
        self._local_count = 0
        # Regular candidates.
        self.local: list[instances.InstanceStats] = []
        self.remote: list[instances.InstanceStats] = []
        # Members suspected of being dead, and ejected local instances. They are
        # used if no regular candidate is left, the ejected also for probes.
        self.suspected: list[instances.InstanceStats] = []
        self.ejected: list[instances.InstanceStats] = []

    def is_built_from(
        self,
        local_members: Sequence[members.Member],
        remote_members: Sequence[members.Member],
    ) -> bool:
        """Returns whether the lists were built from these sequences.

        The sequences are compared by identity.
        """
        return (
            self._local_members is local_members
            and self._remote_members is remote_members
        )

    def get_stats(self, instance: str) -> instances.InstanceStats | None:
        """Returns the statistics of an instance, or None if it is unknown."""
        return self._stats.get(instance)

    def update(
        self,
        local_members: Sequence[members.Member],
        remote_members: Sequence[members.Member],
        now_ms: float,
    ) -> None:
        """Replaces the members and rebuilds the lists.

        The statistics of instances that are still members are kept.
        """
        previous = self._stats
        self._local_members, self._remote_members = (
            local_members,
            remote_members,
        )
        self._stats = {}
        for member in (*local_members, *remote_members):
            stats = previous.get(member.instance)
            if stats is None:
                stats = instances.InstanceStats(member, now_ms)
            elif stats.member.incarnation != member.incarnation:
                self._handle_new_incarnation(stats, now_ms)
            stats.member = member
            self._stats[member.instance] = stats
        self._rebuild(now_ms)

    def evaluate(self, stats: instances.InstanceStats, now_ms: float) -> None:
        """Ejects a local instance that is slow or fails, if it may be ejected.

        For an ejected instance, the calls since its statistics were last reset
        are evaluated as a probe.
        """
        match stats.routing_state:
            case routing_states.Active() if stats in self.local:
                if self._is_outlier(stats, now_ms) and self._can_eject():
                    self._eject(stats, now_ms)
            case routing_states.Ejected():
                self._evaluate_probe(stats, stats.routing_state, now_ms)
            case _:
                pass

    def mark_drained(
        self, stats: instances.InstanceStats, now_ms: float
    ) -> None:
        """Excludes an instance that reported that it accepts no new calls."""
        stats.routing_state = routing_states.Drained()
        self._rebuild(now_ms)

    def find_due_probe(
        self, is_idempotent: bool, now_ms: float
    ) -> instances.InstanceStats | None:
        """Returns an ejected instance whose probe is due, and reschedules it.

        A call that is not idempotent must not be resent, so it is used only for
        a probe that has been due for `PROBE_OVERDUE_MS`.
        """
        due_ms = now_ms if is_idempotent else now_ms - PROBE_OVERDUE_MS
        for stats in self.ejected:
            match stats.routing_state:
                case routing_states.Ejected() as ejected if (
                    ejected.probe_at_ms <= due_ms
                ):
                    stats.routing_state = dataclasses.replace(
                        ejected, probe_at_ms=now_ms + ejected.probe_interval_ms
                    )
                    return stats
                case _:
                    pass
        return None

    def readmit_slow(self, now_ms: float) -> bool:
        """Readmits instances ejected as slow if the other local ones are full.

        A slow instance still helps when all regular ones are full, and the load
        that filled these may have made it look slow. Returns whether any was
        readmitted.
        """
        slow = [
            stats
            for stats in self.ejected
            if not _is_ejected_for_failures(stats.routing_state)
        ]
        if not slow or not self._are_others_full(None, now_ms):
            return False
        for stats in slow:
            stats.routing_state = routing_states.Active()
            stats.reset_statistics(now_ms)
        self._rebuild(now_ms)
        return True

    def _handle_new_incarnation(
        self, stats: instances.InstanceStats, now_ms: float
    ) -> None:
        """Readmits a drained instance, which may have been restarted.

        A member raises its incarnation with each restart.
        """
        match stats.routing_state:
            case routing_states.Drained():
                stats.routing_state = routing_states.Active()
                stats.reset_statistics(now_ms)
            case _:
                pass

    def _is_outlier(
        self, stats: instances.InstanceStats, now_ms: float
    ) -> bool:
        if stats.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:
            return True
        if (
            stats.sample_count < MIN_SAMPLES
            or stats.slowness_ratio <= EJECTION_SLOWNESS_RATIO
        ):
            return False
        return not self._are_others_full(stats, now_ms)

    def _are_others_full(
        self, stats: instances.InstanceStats | None, now_ms: float
    ) -> bool:
        """Returns whether all regular local instances but `stats` are full."""
        return all(
            candidate is stats or suitability.is_full(candidate, now_ms)
            for candidate in self.local
        )

    def _can_eject(self) -> bool:
        max_ejected = int(self._local_count * MAX_EJECTED_RATIO)
        return len(self.ejected) < max_ejected

    def _eject(self, stats: instances.InstanceStats, now_ms: float) -> None:
        stats.routing_state = routing_states.Ejected(
            now_ms + FIRST_PROBE_INTERVAL_MS,
            FIRST_PROBE_INTERVAL_MS,
            is_failing=stats.consecutive_failures >= MAX_CONSECUTIVE_FAILURES,
        )
        stats.reset_statistics(now_ms)
        self._rebuild(now_ms)

    def _evaluate_probe(
        self,
        stats: instances.InstanceStats,
        ejected: routing_states.Ejected,
        now_ms: float,
    ) -> None:
        # Half of the threshold for ejection, as a hysteresis.
        has_passed = (
            stats.consecutive_failures == 0
            and stats.slowness_ratio < EJECTION_SLOWNESS_RATIO / 2
        )
        if not has_passed:
            probe_interval_ms = min(
                ejected.probe_interval_ms * 2, MAX_PROBE_INTERVAL_MS
            )
            stats.routing_state = routing_states.Ejected(
                now_ms + probe_interval_ms,
                probe_interval_ms,
                is_failing=ejected.is_failing or stats.consecutive_failures > 0,
            )
            stats.reset_statistics(now_ms)
        elif ejected.passed_probes + 1 < PROBES_TO_READMIT:
            # The next probe is due at once.
            stats.routing_state = dataclasses.replace(
                ejected,
                probe_at_ms=now_ms,
                passed_probes=ejected.passed_probes + 1,
            )
        else:
            stats.routing_state = routing_states.Active()
            stats.reset_statistics(now_ms)
            self._rebuild(now_ms)

    def _rebuild(self, now_ms: float) -> None:
        self.local, self.remote, self.suspected, self.ejected = [], [], [], []
        self._local_count = 0
        for stats in self._stats.values():
            match stats.routing_state, stats.member.state:
                case routing_states.Drained(), _:
                    pass
                case _, members.Suspected():
                    self.suspected.append(stats)
                case routing_state, members.Alive():
                    self._assign(stats, routing_state)
                case _:
                    pass
        self._readmit_surplus(now_ms)

    def _assign(
        self,
        stats: instances.InstanceStats,
        routing_state: routing_states.RoutingState,
    ) -> None:
        if stats.member.data_centre != self._data_centre:
            self.remote.append(stats)
            return
        self._local_count += 1
        match routing_state:
            case routing_states.Ejected():
                self.ejected.append(stats)
            case _:
                self.local.append(stats)

    def _readmit_surplus(self, now_ms: float) -> None:
        """Readmits ejected instances beyond `MAX_EJECTED_RATIO`.

        There can be such instances after others left or were suspected.
        """
        max_ejected = int(self._local_count * MAX_EJECTED_RATIO)
        while len(self.ejected) > max_ejected:
            stats = self.ejected.pop()
            stats.routing_state = routing_states.Active()
            stats.reset_statistics(now_ms)
            self.local.append(stats)


def _is_ejected_for_failures(
    routing_state: routing_states.RoutingState,
) -> bool:
    match routing_state:
        case routing_states.Ejected(is_failing=is_failing):
            return is_failing
        case _:
            return False
