"""The retries of a whole call graph never exceed the root's allowance."""

import asyncio

import hypothesis
from hypothesis import strategies
import looptime

from tests.callpath import graph as graphs

MAX_SERVICES = 7
MAX_FAN_OUT = 3


@strategies.composite
def draw_graphs(draw: strategies.DrawFn) -> graphs.Graph:
    """Draws a graph in which services call only later ones."""
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
        allowance=draw(strategies.integers(0, 6)),
        fault_ratio=draw(strategies.sampled_from((0.0, 0.1, 0.5, 0.9))),
        application_tries=draw(strategies.integers(1, 3)),
        seed=draw(strategies.integers(0, 10**6)),
        idempotent=draw(strategies.booleans()),
    )


@hypothesis.settings(
    max_examples=60, deadline=None, derandomize=True, database=None
)
@hypothesis.given(draw_graphs())
def test_retries_stay_within_the_allowance(graph: graphs.Graph) -> None:
    world = run(graph)
    assert world.recorder.retries <= graph.allowance
    assert all(
        len(node.inbound_registry) == 0 for node in world.nodes.values()
    ), "records are left"


def test_allowance_is_used_where_it_helps() -> None:
    chain = graphs.Graph(((1,), (2,), ()), 4, 0.3, 1, seed=3)
    assert run(chain).recorder.retries > 0


def run(graph: graphs.Graph) -> graphs.GraphWorld:
    loop: asyncio.AbstractEventLoop = looptime.new_event_loop(start=0.0)
    try:
        world = loop.run_until_complete(_run(graph))
    finally:
        loop.close()
    assert isinstance(world, graphs.GraphWorld)
    return world


async def _run(graph: graphs.Graph) -> graphs.GraphWorld:
    world = graphs.GraphWorld(graph)
    await world.call_root()
    return world
