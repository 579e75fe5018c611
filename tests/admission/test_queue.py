"""The waiting queue compared with a list as its model."""

import asyncio

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from kumquatridge.admission import queue as waiting_queue
from kumquatridge.admission import shares
from kumquatridge.calls import importance as call_importance

RANKS = strategies.integers(0, 20)


class QueueMachine(stateful.RuleBasedStateMachine):
    """Pushes, pops, cancels and purges calls in random order."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.queue = waiting_queue.WaitingQueue()
        self.model: list[waiting_queue.WaitingCall] = []

    def teardown(self) -> None:
        """Closes the loop that made the futures."""
        self.loop.close()

    @stateful.rule(rank=RANKS, depth=strategies.integers(0, 2))
    def push(self, rank: int, depth: int) -> None:
        """Adds a call, whose order is its rank, to queue and model."""
        call_class = shares.CallClass(
            call_importance.Importance.NORMAL, depth, False
        )
        waiting = waiting_queue.WaitingCall(
            rank, rank, call_class, self.loop.create_future()
        )
        self.queue.push(waiting)
        self.model.append(waiting)

    @stateful.rule(ineligible_depth=strategies.integers(0, 3))
    def pop(self, ineligible_depth: int) -> None:
        """Pops the first call that is not at the ineligible depth.

        No call has depth 3, so that all calls are eligible with it.
        """
        popped = self.queue.pop_next(
            lambda call_class: call_class.depth != ineligible_depth
        )
        eligible = [
            waiting
            for waiting in self.model
            if waiting.call_class.depth != ineligible_depth
        ]
        # The earliest of the calls of the highest order.
        expected = max(
            eligible, key=lambda waiting: waiting.order, default=None
        )
        assert popped is expected
        if popped is not None:
            popped.future.set_result(None)
            self.model.remove(popped)

    @stateful.precondition(lambda self: bool(self.model))
    @stateful.rule(data=strategies.data())
    def cancel(self, data: strategies.DataObject) -> None:
        """Cancels a random waiting call."""
        index = data.draw(strategies.integers(0, len(self.model) - 1))
        self.model.pop(index).future.cancel()
        self.queue.record_abandoned()

    @stateful.rule(rank=RANKS)
    def purge(self, rank: int) -> None:
        """Removes the calls below a rank, as when the level rises."""
        expected = [call for call in self.model if call.rank < rank]
        removed = []
        for waiting in self.queue.pop_below(rank):
            waiting.future.cancel()
            removed.append(waiting)
        assert set(removed) == set(expected)
        self.model = [call for call in self.model if call.rank >= rank]

    @stateful.invariant()
    def length_matches(self) -> None:
        """The length counts only the waiting calls."""
        assert len(self.queue) == len(self.model)


QueueMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=60, deadline=None
)
TestQueue = QueueMachine.TestCase
