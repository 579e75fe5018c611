"""The instances of one service, in arrays made once for each change."""

from collections.abc import Sequence
import dataclasses

from kumquatridge.membership import member as members
from kumquatridge.routing import fitness
from kumquatridge.routing import instances
from kumquatridge.routing import standings

EJECT_SLOW_RATIO = 4.0
MIN_SAMPLES = 5
MAX_FAILURES = 5
FIRST_TEST_MS = 100.0
OVERDUE_MS = 1000.0
MAX_TEST_MS = 800.0
TESTS_TO_RETURN = 2
MAX_EJECTED_RATIO = 0.5


class ServicePool:
    """The instances of a service and which of them are ejected.

    Invariant: of the instances that this daemon would use first, at most
    half are ejected, and none for being slow while all others are full.
    """

    def __init__(self, data_centre: str) -> None:
        self._data_centre = data_centre
        self._stats: dict[str, instances.InstanceStats] = {}
        self._own: Sequence[members.Member] | None = None
        self._remote: Sequence[members.Member] | None = None
        self._near_count = 0
        self.near: list[instances.InstanceStats] = []
        self.far: list[instances.InstanceStats] = []
        self.suspected: list[instances.InstanceStats] = []
        self.ejected: list[instances.InstanceStats] = []

    def is_made_from(
        self, own: Sequence[members.Member], remote: Sequence[members.Member]
    ) -> bool:
        """Tells whether the arrays were made from these very sequences."""
        return self._own is own and self._remote is remote

    def get_stats(self, instance: str) -> instances.InstanceStats | None:
        """Returns what was measured of an instance."""
        return self._stats.get(instance)

    def update(
        self,
        own: Sequence[members.Member],
        remote: Sequence[members.Member],
        now_ms: float,
    ) -> None:
        """Takes the present members and makes the arrays anew.

        `own` are those of the own data centre.
        """
        known = self._stats
        self._own, self._remote = own, remote
        self._stats = {}
        for member in (*own, *remote):
            stats = known.get(member.instance)
            if stats is None:
                stats = instances.InstanceStats(member, now_ms)
            elif stats.member.incarnation != member.incarnation:
                self._renew(stats, now_ms)
            stats.member = member
            self._stats[member.instance] = stats
        self._arrange(now_ms)

    def judge(self, stats: instances.InstanceStats, now_ms: float) -> None:
        """Ejects an instance that is slow or fails, when that is allowed."""
        match stats.standing:
            case standings.Active() if stats in self.near:
                if self._is_bad(stats, now_ms) and self._may_eject():
                    self._eject(stats, now_ms)
            case standings.Ejected():
                self._judge_test(stats, stats.standing, now_ms)
            case _:
                pass

    def set_drained(
        self, stats: instances.InstanceStats, now_ms: float
    ) -> None:
        """Takes the word of an instance that it takes no new calls."""
        stats.standing = standings.Drained()
        self._arrange(now_ms)

    def find_due_test(
        self, is_idempotent: bool, now_ms: float
    ) -> instances.InstanceStats | None:
        """Returns an ejected instance whose test is due, and delays it.

        Calls that may not be sent again are used only when no other call
        came in time.
        """
        due_ms = now_ms if is_idempotent else now_ms - OVERDUE_MS
        for stats in self.ejected:
            match stats.standing:
                case standings.Ejected() as ejected if (
                    ejected.test_at_ms <= due_ms
                ):
                    stats.standing = dataclasses.replace(
                        ejected, test_at_ms=now_ms + ejected.wait_ms
                    )
                    return stats
                case _:
                    pass
        return None

    def return_slow(self, now_ms: float) -> bool:
        """Ends the ejection of slow instances while the others are full.

        Beside full ones a slow one still helps, and what made it look slow
        may have been the same load. Returns whether any came back.
        """
        slow = [stats for stats in self.ejected if not _fails(stats.standing)]
        if not slow or not self._are_others_full(None, now_ms):
            return False
        for stats in slow:
            stats.standing = standings.Active()
            stats.forget_times(now_ms)
        self._arrange(now_ms)
        return True

    def _renew(self, stats: instances.InstanceStats, now_ms: float) -> None:
        match stats.standing:
            case standings.Drained():
                stats.standing = standings.Active()
                stats.forget_times(now_ms)
            case _:
                pass

    def _is_bad(self, stats: instances.InstanceStats, now_ms: float) -> bool:
        if stats.failures >= MAX_FAILURES:
            return True
        if (
            stats.samples < MIN_SAMPLES
            or stats.slowness_ratio <= EJECT_SLOW_RATIO
        ):
            return False
        return not self._are_others_full(stats, now_ms)

    def _are_others_full(
        self, stats: instances.InstanceStats | None, now_ms: float
    ) -> bool:
        return all(
            one is stats or fitness.is_full(one, now_ms) for one in self.near
        )

    def _may_eject(self) -> bool:
        most = int(self._near_count * MAX_EJECTED_RATIO)
        return len(self.ejected) < most

    def _eject(self, stats: instances.InstanceStats, now_ms: float) -> None:
        stats.standing = standings.Ejected(
            now_ms + FIRST_TEST_MS,
            FIRST_TEST_MS,
            fails=stats.failures >= MAX_FAILURES,
        )
        stats.forget_times(now_ms)
        self._arrange(now_ms)

    def _judge_test(
        self,
        stats: instances.InstanceStats,
        ejected: standings.Ejected,
        now_ms: float,
    ) -> None:
        is_good = (
            stats.failures == 0 and stats.slowness_ratio < EJECT_SLOW_RATIO / 2
        )
        if not is_good:
            wait_ms = min(ejected.wait_ms * 2, MAX_TEST_MS)
            stats.standing = standings.Ejected(
                now_ms + wait_ms,
                wait_ms,
                fails=ejected.fails or stats.failures > 0,
            )
            stats.forget_times(now_ms)
        elif ejected.passed + 1 < TESTS_TO_RETURN:
            stats.standing = dataclasses.replace(
                ejected, test_at_ms=now_ms, passed=ejected.passed + 1
            )
        else:
            stats.standing = standings.Active()
            stats.forget_times(now_ms)
            self._arrange(now_ms)

    def _arrange(self, now_ms: float) -> None:
        self.near, self.far, self.suspected, self.ejected = [], [], [], []
        self._near_count = 0
        for stats in self._stats.values():
            match stats.standing, stats.member.state:
                case standings.Drained(), _:
                    pass
                case _, members.Suspected():
                    self.suspected.append(stats)
                case standing, members.Alive():
                    self._place(stats, standing)
                case _:
                    pass
        self._return_surplus(now_ms)

    def _place(
        self, stats: instances.InstanceStats, standing: standings.Standing
    ) -> None:
        if stats.member.data_centre != self._data_centre:
            self.far.append(stats)
            return
        self._near_count += 1
        match standing:
            case standings.Ejected():
                self.ejected.append(stats)
            case _:
                self.near.append(stats)

    def _return_surplus(self, now_ms: float) -> None:
        most = int(self._near_count * MAX_EJECTED_RATIO)
        while len(self.ejected) > most:
            stats = self.ejected.pop()
            stats.standing = standings.Active()
            stats.forget_times(now_ms)
            self.near.append(stats)


def _fails(standing: standings.Standing) -> bool:
    match standing:
        case standings.Ejected(fails=fails):
            return fails
        case _:
            return False
