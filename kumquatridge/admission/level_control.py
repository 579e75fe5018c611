"""Adjusts the admission level to the demand over short windows.

The level is the lowest rank that is admitted; ranks are defined in `levels`.

A queue that never ran empty during a window (a standing queue, as in CoDel)
indicates overload. The level is then set in one step: the demand of the recent
windows is summed from the highest rank down, and the level is the rank at which
the sum exceeds the slots granted in these windows plus a headroom. Critical
calls are refused only after several windows in which nothing else was admitted.
Without a standing queue the level falls in growing steps, so that refusals end
soon after the overload.

Sources: H. Zhou et al., "Overload Control for Scaling WeChat Microservices",
SoCC 2018; K. Nichols and V. Jacobson, "Controlling Queue Delay", ACM Queue
2012.
"""

from kumquatridge.admission import levels

# A window ends after `WINDOW_MS` if at least `MIN_ARRIVALS` calls have arrived,
# otherwise after `MAX_WINDOW_MS`.
WINDOW_MS = 50.0
MAX_WINDOW_MS = 200.0
MIN_ARRIVALS = 16
# The demand that a level admits, as a multiple of the granted slots.
HEADROOM_RATIO = 1.1
# Factor on the counts of demand and of granted slots at the end of each window.
DECAY_RATIO = 0.6
# Successive windows in which critical calls alone exceed the granted slots
# before any of them is refused.
MIN_CRITICAL_OVERLOAD_WINDOWS = 5
# Without a standing queue, the level falls by a step for each `WINDOW_MS`. This
# is the first step after an overload, and the factor for each further one.
INITIAL_STEP_RANKS = 8
STEP_GROWTH_RATIO = 2


class LevelControl:
    """The admission level of one worker."""

    def __init__(self) -> None:
        self._min_admitted_rank = levels.ADMIT_ALL_RANK
        # Arrivals by rank, and the number of slots granted; both decay with
        # each window.
        self._demand = [0.0] * levels.RANKS
        self._grants = 0.0
        self._step_ranks = INITIAL_STEP_RANKS
        self._is_overloaded = False
        self._critical_overload_windows = 0
        self._window_started_ms = 0.0
        # All arrivals in the current window.
        self._arrivals = 0
        # The shortest queue in the current window; None before any record.
        self._min_queued: int | None = None

    @property
    def min_admitted_rank(self) -> int:
        """The lowest rank that is admitted."""
        return self._min_admitted_rank

    @property
    def is_overloaded(self) -> bool:
        """Whether the last closed window had a standing queue."""
        return self._is_overloaded

    @property
    def is_refusing(self) -> bool:
        """Whether calls are refused, or will be soon, for lack of slots."""
        return (
            self._is_overloaded
            or self._min_admitted_rank > levels.ADMIT_ALL_RANK
        )

    def get_order(self, rank: int) -> int:
        """Returns the queue order of a call; higher values are served first.

        A group is all calls of one importance and depth class. In the group
        that contains the admission level, calls are ordered by the hash of the
        root id; within any other group they are served in order of arrival.
        """
        max_rank = levels.get_max_rank_of_group(rank)
        return (
            rank
            if levels.get_max_rank_of_group(self._min_admitted_rank) == max_rank
            else max_rank
        )

    def record_arrival(self, rank: int) -> None:
        """Counts a call as demand, whether it is admitted or not."""
        self._demand[rank] += 1.0
        self._arrivals += 1

    def record_grant(self) -> None:
        """Counts a slot that was granted to a call."""
        self._grants += 1.0

    def record_queue(self, queued: int) -> None:
        """Records the new number of waiting calls that are not long-running."""
        if self._min_queued is None or queued < self._min_queued:
            self._min_queued = queued

    def is_window_over(self, now_ms: float) -> bool:
        """Returns whether `close_window` is due."""
        elapsed_ms = now_ms - self._window_started_ms
        if elapsed_ms < WINDOW_MS:
            return False
        return self._arrivals >= MIN_ARRIVALS or elapsed_ms >= MAX_WINDOW_MS

    def close_window(self, now_ms: float, queued: int) -> bool:
        """Adjusts the level, starts a window; returns whether the level rose.

        `queued` is the number of waiting calls that are not long-running.
        """
        min_queued = (
            queued
            if self._min_queued is None
            else min(queued, self._min_queued)
        )
        previous_rank = self._min_admitted_rank
        self._is_overloaded = min_queued > 0
        if self._is_overloaded:
            self._step_ranks = INITIAL_STEP_RANKS
            self._raise_level()
        else:
            self._lower_level(now_ms - self._window_started_ms)
        self._decay_counts()
        self._window_started_ms = now_ms
        self._arrivals = 0
        self._min_queued = queued
        return self._min_admitted_rank > previous_rank

    def _raise_level(self) -> None:
        new_rank = self._find_balanced_rank()
        if new_rank <= levels.MIN_CRITICAL_RANK:
            self._critical_overload_windows = 0
        else:
            self._critical_overload_windows += 1
            if self._critical_overload_windows < MIN_CRITICAL_OVERLOAD_WINDOWS:
                new_rank = levels.MIN_CRITICAL_RANK
        self._min_admitted_rank = new_rank

    def _find_balanced_rank(self) -> int:
        """Returns the rank at which the demand exceeds the granted slots.

        The demand is summed from the highest rank down and compared with the
        granted slots and the headroom. If it never exceeds these, all ranks are
        admitted.
        """
        # The added slot leaves capacity for one call if none was granted.
        remaining_capacity = self._grants * HEADROOM_RATIO + 1.0
        for rank in range(levels.RANKS - 1, levels.ADMIT_ALL_RANK, -1):
            remaining_capacity -= self._demand[rank]
            if remaining_capacity < 0.0:
                return rank
        return levels.ADMIT_ALL_RANK

    def _lower_level(self, elapsed_ms: float) -> None:
        self._critical_overload_windows = 0
        # The closed window can be several times as long as `WINDOW_MS`.
        windows = int(elapsed_ms / WINDOW_MS)
        while self._min_admitted_rank > levels.ADMIT_ALL_RANK and windows > 0:
            self._min_admitted_rank = max(
                levels.ADMIT_ALL_RANK,
                self._min_admitted_rank - self._step_ranks,
            )
            self._step_ranks *= STEP_GROWTH_RATIO
            windows -= 1

    def _decay_counts(self) -> None:
        """Decays the counts, or clears them once the overload has ended."""
        if (
            self._min_admitted_rank == levels.ADMIT_ALL_RANK
            and not self._is_overloaded
        ):
            self._demand = [0.0] * levels.RANKS
            self._grants = 0.0
            return
        self._demand = [count * DECAY_RATIO for count in self._demand]
        self._grants *= DECAY_RATIO
