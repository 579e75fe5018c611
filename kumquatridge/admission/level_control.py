"""Moves the admission level with the demand over short windows.

A queue that never ran empty during a window (a standing queue, as in CoDel)
means overload: the level goes straight to the rank at which the demand of
the last windows equals what was granted. It enters the most important calls
only after several windows in which nothing else was admitted. Without a
standing queue the level opens in growing steps, so that nothing is refused
long after the trigger has passed.

Sources: H. Zhou et al., "Overload Control for Scaling WeChat Microservices",
SoCC 2018; K. Nichols and V. Jacobson, "Controlling Queue Delay", ACM Queue
2012.
"""

from kumquatridge.admission import levels

WINDOW_MS = 50.0
MAX_WINDOW_MS = 200.0
MIN_ARRIVALS = 16
HEADROOM_RATIO = 1.1
MEMORY_RATIO = 0.6
CRITICAL_WINDOWS = 5
FIRST_STEP_RANKS = 8
STEP_GROWTH_RATIO = 2


class LevelControl:
    """The admission level of one worker."""

    def __init__(self) -> None:
        self._rank = levels.ADMIT_ALL_RANK
        self._demand = [0.0] * levels.RANKS
        self._granted = 0.0
        self._step_ranks = FIRST_STEP_RANKS
        self._is_overloaded = False
        self._critical_windows = 0
        self._started_ms = 0.0
        self._arrivals = 0
        self._least_queued: int | None = None

    @property
    def rank(self) -> int:
        """The least rank that is admitted."""
        return self._rank

    @property
    def is_overloaded(self) -> bool:
        """Tells whether the last window had a standing queue."""
        return self._is_overloaded

    @property
    def is_closed(self) -> bool:
        """Tells whether some calls are refused, or soon will be."""
        return self._is_overloaded or self._rank > levels.ADMIT_ALL_RANK

    def get_order(self, rank: int) -> int:
        """Returns a call's place in the queue; higher ones go first.

        Only in the group that is admitted in part does the hash decide;
        elsewhere calls of a group are served as they come.
        """
        top = levels.get_top_of_group(rank)
        return rank if levels.get_top_of_group(self._rank) == top else top

    def record_arrival(self, rank: int) -> None:
        """Takes note of a call, whether it is admitted or not."""
        self._demand[rank] += 1.0
        self._arrivals += 1

    def record_grant(self) -> None:
        """Takes note of a slot that was given to a call."""
        self._granted += 1.0

    def record_queue(self, queued: int) -> None:
        """Takes note of how many short calls wait, when that changes."""
        if self._least_queued is None or queued < self._least_queued:
            self._least_queued = queued

    def is_window_over(self, now_ms: float) -> bool:
        """Tells whether `close_window` is due."""
        elapsed_ms = now_ms - self._started_ms
        if elapsed_ms < WINDOW_MS:
            return False
        return self._arrivals >= MIN_ARRIVALS or elapsed_ms >= MAX_WINDOW_MS

    def close_window(self, now_ms: float, queued: int) -> bool:
        """Moves the level; returns whether it went up."""
        least_queued = (
            queued
            if self._least_queued is None
            else min(queued, self._least_queued)
        )
        before = self._rank
        self._is_overloaded = least_queued > 0
        if self._is_overloaded:
            self._step_ranks = FIRST_STEP_RANKS
            self._raise()
        else:
            self._open(now_ms - self._started_ms)
        self._forget()
        self._started_ms = now_ms
        self._arrivals = 0
        self._least_queued = queued
        return self._rank > before

    def _raise(self) -> None:
        cut = self._find_cut()
        if cut <= levels.MIN_CRITICAL_RANK:
            self._critical_windows = 0
        else:
            self._critical_windows += 1
            if self._critical_windows < CRITICAL_WINDOWS:
                cut = levels.MIN_CRITICAL_RANK
        self._rank = cut

    def _find_cut(self) -> int:
        room = self._granted * HEADROOM_RATIO + 1.0
        for rank in range(levels.RANKS - 1, levels.ADMIT_ALL_RANK, -1):
            room -= self._demand[rank]
            if room < 0.0:
                return rank
        return levels.ADMIT_ALL_RANK

    def _open(self, elapsed_ms: float) -> None:
        self._critical_windows = 0
        windows = int(elapsed_ms / WINDOW_MS)
        while self._rank > levels.ADMIT_ALL_RANK and windows > 0:
            self._rank = max(
                levels.ADMIT_ALL_RANK, self._rank - self._step_ranks
            )
            self._step_ranks *= STEP_GROWTH_RATIO
            windows -= 1

    def _forget(self) -> None:
        if self._rank == levels.ADMIT_ALL_RANK and not self._is_overloaded:
            self._demand = [0.0] * levels.RANKS
            self._granted = 0.0
            return
        self._demand = [count * MEMORY_RATIO for count in self._demand]
        self._granted *= MEMORY_RATIO
