"""The calls that wait for a slot, the more important first."""

import asyncio
from collections.abc import Callable, Iterator
import dataclasses
import heapq

from kumquatridge.admission import shares
from kumquatridge.calls import refusals

MIN_DEAD_ENTRIES = 32


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Waiting:
    """A call that waits; its future yields a refusal, or None for a slot.

    Of two calls the one of the higher `order` is served first.
    """

    rank: int
    order: int
    kind: shares.Kind
    decided: asyncio.Future[refusals.Refusal | None]


_Entry = tuple[int, int, Waiting]


class WaitingQueue:
    """A heap for each kind of call; a removal is O(log n) amortised.

    Entries that left early stay in the heap until they come to its top or
    outnumber the others.
    """

    def __init__(self) -> None:
        self._heaps: dict[shares.Kind, list[_Entry]] = {}
        self._live = 0
        self._dead = 0
        self._sequence = 0

    def __len__(self) -> int:
        """Returns how many calls wait."""
        return self._live

    def count_ahead(self, kind: shares.Kind) -> int:
        """Returns how many calls of the same or more importance wait."""
        return sum(
            len(heap)
            for other, heap in self._heaps.items()
            if other.importance >= kind.importance
        )

    def push(self, waiting: Waiting) -> None:
        """Adds a call."""
        self._sequence += 1
        heap = self._heaps.setdefault(waiting.kind, [])
        heapq.heappush(heap, (-waiting.order, self._sequence, waiting))
        self._live += 1

    def discard(self) -> None:
        """Takes note that a call left whose future is done."""
        self._live -= 1
        self._dead += 1
        if self._dead > max(MIN_DEAD_ENTRIES, self._live):
            self._compact()

    def pop_best(
        self, can_take: Callable[[shares.Kind], bool]
    ) -> Waiting | None:
        """Removes the call of the highest order that may take a slot."""
        best: list[_Entry] | None = None
        for kind, heap in list(self._heaps.items()):
            self._drop_dead_top(heap)
            if not heap:
                del self._heaps[kind]
            elif (best is None or heap[0] < best[0]) and can_take(kind):
                best = heap
        if best is None:
            return None
        self._live -= 1
        return heapq.heappop(best)[2]

    def pop_below(self, rank: int) -> Iterator[Waiting]:
        """Removes the calls below a rank."""
        below = [
            waiting
            for heap in self._heaps.values()
            for _, _, waiting in heap
            if waiting.rank < rank and not waiting.decided.done()
        ]
        yield from below
        if below:
            self._live -= len(below)
            self._compact()

    def _drop_dead_top(self, heap: list[_Entry]) -> None:
        while heap and heap[0][2].decided.done():
            heapq.heappop(heap)
            self._dead -= 1

    def _compact(self) -> None:
        self._dead = 0
        for kind, heap in list(self._heaps.items()):
            live = [entry for entry in heap if not entry[2].decided.done()]
            heapq.heapify(live)
            self._heaps[kind] = live
