"""Priority queue of the calls that wait for a slot."""

import asyncio
from collections.abc import Callable, Iterator
import dataclasses
import heapq

from kumquatridge.admission import shares
from kumquatridge.calls import refusals

MIN_STALE_ENTRIES_TO_COMPACT = 32


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class WaitingCall:
    """A queued call.

    `future` resolves to None when the call is granted a slot, and to the
    refusal otherwise. `rank` is compared with the admission level; of two calls
    the one with the higher `order` is served first.
    """

    rank: int
    order: int
    call_class: shares.CallClass
    future: asyncio.Future[refusals.Refusal | None]


# The negated order, so that the highest is first; sequence number; call.
_Entry = tuple[int, int, WaitingCall]


class WaitingQueue:
    """The waiting calls, in one heap for each call class.

    A removal is amortised O(log n) in the calls of a class. Entries of calls
    that timed out or were cancelled are stale. They stay in the heap until they
    reach its top, or until there are more of them than live entries and more
    than `MIN_STALE_ENTRIES_TO_COMPACT`.
    """

    def __init__(self) -> None:
        self._heaps: dict[shares.CallClass, list[_Entry]] = {}
        self._live_count = 0
        self._stale_count = 0
        self._sequence = 0

    def __len__(self) -> int:
        """Returns the number of waiting calls."""
        return self._live_count

    def count_ahead(self, call_class: shares.CallClass) -> int:
        """Returns the number of entries of the same or a higher importance.

        Stale entries are included.
        """
        return sum(
            len(heap)
            for other_class, heap in self._heaps.items()
            if other_class.importance >= call_class.importance
        )

    def push(self, waiting: WaitingCall) -> None:
        """Adds a waiting call, behind earlier ones of the same order."""
        self._sequence += 1
        heap = self._heaps.setdefault(waiting.call_class, [])
        heapq.heappush(heap, (-waiting.order, self._sequence, waiting))
        self._live_count += 1

    def record_abandoned(self) -> None:
        """Records that a queued call has stopped waiting: its entry is stale.

        The future of the call must be done.
        """
        self._live_count -= 1
        self._stale_count += 1
        if self._stale_count > max(
            MIN_STALE_ENTRIES_TO_COMPACT, self._live_count
        ):
            self._compact()

    def pop_next(
        self, can_acquire: Callable[[shares.CallClass], bool]
    ) -> WaitingCall | None:
        """Removes the call of the highest order that may acquire a slot."""
        next_heap: list[_Entry] | None = None
        for call_class, heap in list(self._heaps.items()):
            self._pop_stale_top(heap)
            if not heap:
                del self._heaps[call_class]
            elif (next_heap is None or heap[0] < next_heap[0]) and can_acquire(
                call_class
            ):
                next_heap = heap
        if next_heap is None:
            return None
        self._live_count -= 1
        return heapq.heappop(next_heap)[2]

    def pop_below(self, rank: int) -> Iterator[WaitingCall]:
        """Removes and yields the waiting calls that a level refuses.

        `rank` is the lowest rank that the level admits. The code that iterates
        must complete the future of each call and read to the end: the heaps are
        compacted after the last call, and keep entries of futures not done.
        """
        below = [
            waiting
            for heap in self._heaps.values()
            for _, _, waiting in heap
            if waiting.rank < rank and not waiting.future.done()
        ]
        yield from below
        if below:
            self._live_count -= len(below)
            self._compact()

    def _pop_stale_top(self, heap: list[_Entry]) -> None:
        while heap and heap[0][2].future.done():
            heapq.heappop(heap)
            self._stale_count -= 1

    def _compact(self) -> None:
        self._stale_count = 0
        for call_class, heap in list(self._heaps.items()):
            live_entries = [
                entry for entry in heap if not entry[2].future.done()
            ]
            heapq.heapify(live_entries)
            self._heaps[call_class] = live_entries
