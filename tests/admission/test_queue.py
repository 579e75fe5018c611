"""The waiting queue against a plain list."""

import asyncio

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from kumquatridge.admission import queue as waiting_queue
from kumquatridge.admission import shares
from kumquatridge.calls import importance as call_importance

RANKS = strategies.integers(0, 20)


class QueueMachine(stateful.RuleBasedStateMachine):
    """Pushes, pops, cancels and purges in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.queue = waiting_queue.WaitingQueue()
        self.model: list[waiting_queue.Waiting] = []

    def teardown(self) -> None:
        """Closes the loop that made the futures."""
        self.loop.close()

    @stateful.rule(rank=RANKS, depth=strategies.integers(0, 2))
    def push(self, rank: int, depth: int) -> None:
        """A call comes."""
        kind = shares.Kind(call_importance.Importance.NORMAL, depth, False)
        waiting = waiting_queue.Waiting(
            rank, rank, kind, self.loop.create_future()
        )
        self.queue.push(waiting)
        self.model.append(waiting)

    @stateful.rule(barred_depth=strategies.integers(0, 3))
    def pop(self, barred_depth: int) -> None:
        """A slot is free."""
        found = self.queue.pop_best(lambda kind: kind.depth != barred_depth)
        allowed = [one for one in self.model if one.kind.depth != barred_depth]
        expected = max(allowed, key=lambda one: one.order, default=None)
        assert found is expected
        if found is not None:
            found.decided.set_result(None)
            self.model.remove(found)

    @stateful.precondition(lambda self: bool(self.model))
    @stateful.rule(data=strategies.data())
    def cancel(self, data: strategies.DataObject) -> None:
        """A call leaves."""
        index = data.draw(strategies.integers(0, len(self.model) - 1))
        self.model.pop(index).decided.cancel()
        self.queue.discard()

    @stateful.rule(rank=RANKS)
    def purge(self, rank: int) -> None:
        """The level rises."""
        expected = [one for one in self.model if one.rank < rank]
        found = []
        for waiting in self.queue.pop_below(rank):
            waiting.decided.cancel()
            found.append(waiting)
        assert set(found) == set(expected)
        self.model = [one for one in self.model if one.rank >= rank]

    @stateful.invariant()
    def length_matches(self) -> None:
        """The length counts just those that wait."""
        assert len(self.queue) == len(self.model)


QueueMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=60, deadline=None
)
TestQueue = QueueMachine.TestCase
