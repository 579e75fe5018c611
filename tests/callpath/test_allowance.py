"""Guards the bound on the retries of a whole call graph.

The retries of all daemons and applications together must not exceed the retry
allowance of the root, even if answers are lost.
"""

import asyncio

import hypothesis
from hypothesis import strategies
import looptime

from tests.callpath import graph as graphs

MAX_SERVICES = 7
MAX_FAN_OUT = 3


@strategies.composite
def draw_graphs(draw: strategies.DrawFn) -> graphs.Graph:
    """Draws a graph without cycles: calls go to higher service numbers."""
    count = draw(strategies.integers(1, MAX_SERVICES))
    children = tuple(
        tuple(
            draw(
                strategies.lists(
                    strategies.integers(service + 1, count - 1),
                    max_size=MAX_FAN_OUT,
                )
            )
            if service + 1 < count
            else ()
        )
        for service in range(count)
    )
    return graphs.Graph(
        children,
        retry_allowance=draw(strategies.integers(0, 6)),
        fault_ratio=draw(strategies.sampled_from((0.0, 0.1, 0.5, 0.9))),
        application_attempts=draw(strategies.integers(1, 3)),
        seed=draw(strategies.integers(0, 10**6)),
        idempotent=draw(strategies.booleans()),
    )


@hypothesis.settings(
    max_examples=60, deadline=None, derandomize=True, database=None
)
@hypothesis.given(draw_graphs())
def test_retries_never_exceed_the_root_allowance(graph: graphs.Graph) -> None:
    world = run_graph(graph)
    assert world.recorder.retries <= graph.retry_allowance
    assert all(
        len(node.inbound_registry) == 0 for node in world.nodes.values()
    ), "inbound calls are still registered"


def test_failing_chain_uses_its_allowance() -> None:
    # Three services, four retries, 30 % faults, no application retries.
    chain = graphs.Graph(((1,), (2,), ()), 4, 0.3, 1, seed=3)
    assert run_graph(chain).recorder.retries > 0


def run_graph(graph: graphs.Graph) -> graphs.GraphWorld:
    """Sends one root call in virtual time and returns the world after it."""
    loop: asyncio.AbstractEventLoop = looptime.new_event_loop(start=0.0)
    try:
        world = loop.run_until_complete(_call_root(graph))
    finally:
        loop.close()
    assert isinstance(world, graphs.GraphWorld)
    return world


async def _call_root(graph: graphs.Graph) -> graphs.GraphWorld:
    world = graphs.GraphWorld(graph)
    await world.call_root()
    return world
