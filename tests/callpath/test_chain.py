"""Child calls inherit the chain of their parent and end with it."""

import asyncio
import contextlib
import dataclasses

import pytest

from kumquatridge.callpath import call_builder
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from tests.callpath import graph as graphs

# Service 0 calls service 1.
GRAPH = graphs.Graph(
    ((1,), ()),
    retry_allowance=4,
    fault_ratio=0.0,
    application_attempts=1,
    seed=1,
)


def make_request(
    token: str | None, timeout_ms: int | None = None
) -> call_builder.Request:
    return call_builder.Request(
        service="s1",
        method="GET",
        path="/",
        headers=(),
        body=call_body.EMPTY,
        timeout_ms=timeout_ms,
        token=token,
    )


# The last token has the form of a real one.
@pytest.mark.looptime
@pytest.mark.parametrize("token", ["", "forged", "0" * 32])
async def test_unknown_token_is_refused(token: str) -> None:
    node = graphs.GraphWorld(GRAPH).nodes["s0-0"]
    with node.builder.start_call(make_request(token)) as call_or_refusal:
        assert call_or_refusal == refusals.ParentEnded()


@pytest.mark.looptime
async def test_token_of_an_ended_call_is_refused() -> None:
    node = graphs.GraphWorld(GRAPH).nodes["s0-0"]
    with node.inbound_registry.register(graphs.make_chain(1.0)) as parent:
        pass
    with node.builder.start_call(make_request(parent.token)) as call_or_refusal:
        assert call_or_refusal == refusals.ParentEnded()


# No time-out, one before the deadline of the parent (in 1 s), one after it.
@pytest.mark.looptime
@pytest.mark.parametrize("timeout_ms", [None, 10, 10**9])
async def test_child_inherits_the_chain_of_its_parent(
    timeout_ms: int | None,
) -> None:
    node = graphs.GraphWorld(GRAPH).nodes["s0-0"]
    chain = graphs.make_chain(1.0)
    with (
        node.inbound_registry.register(chain, "shop") as parent,
        node.builder.start_call(
            make_request(parent.token, timeout_ms)
        ) as call_or_refusal,
    ):
        match call_or_refusal:
            case calls.Call():
                assert call_or_refusal.chain.importance == chain.importance
                assert call_or_refusal.chain.root_id == chain.root_id
                assert (
                    call_or_refusal.chain.expires_at_ms <= chain.expires_at_ms
                )
                assert call_or_refusal.chain.depth == 1
                assert call_or_refusal.chain.retry_allowance == 0
                assert call_or_refusal.caller == "shop"
            case refusal:
                pytest.fail(str(refusal))


@dataclasses.dataclass(frozen=True, slots=True)
class SlotCase:
    """A call that waited 7 ms and ran 20 ms before its child started.

    Its ancestors waited 3 ms and held slots for 5 ms. `is_contended` is about
    the slot of the call; `waited_ms` and `is_child_contended` are what the
    child must inherit.
    """

    depth: int
    is_ancestor_contended: bool
    is_contended: bool
    waited_ms: float
    is_child_contended: bool


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(SlotCase(0, False, False, 0.0, False), id="root"),
        pytest.param(SlotCase(2, False, False, 10.0, False), id="nested"),
        pytest.param(
            SlotCase(2, True, False, 10.0, True), id="ancestor contended"
        ),
        pytest.param(SlotCase(2, False, True, 10.0, True), id="call contended"),
    ],
)
async def test_child_inherits_slot_and_wait_times(case: SlotCase) -> None:
    node = graphs.GraphWorld(GRAPH).nodes["s0-0"]
    chain = dataclasses.replace(
        graphs.make_chain(1.0),
        depth=case.depth,
        slot_held_ms=5.0,
        waited_ms=3.0,
        is_contended=case.is_ancestor_contended,
    )
    with node.inbound_registry.register(
        chain, "shop", 7.0, case.is_contended
    ) as parent:
        await asyncio.sleep(0.02)
        with node.builder.start_call(
            make_request(parent.token)
        ) as call_or_refusal:
            match call_or_refusal:
                case calls.Call(chain=child):
                    # 5 ms of the ancestors and 20 ms of the call.
                    assert child.slot_held_ms == pytest.approx(25.0)
                    assert child.waited_ms == case.waited_ms
                    assert child.is_contended == case.is_child_contended
                case refusal:
                    pytest.fail(str(refusal))


@pytest.mark.looptime
@pytest.mark.parametrize(
    "is_parent_failed",
    [
        pytest.param(True, id="parent fails"),
        pytest.param(False, id="parent ends"),
    ],
)
async def test_children_are_cancelled_only_when_the_parent_fails(
    is_parent_failed: bool,
) -> None:
    node = graphs.GraphWorld(GRAPH).nodes["s0-0"]
    started = asyncio.Event()

    async def call_child(token: str) -> None:
        with node.builder.start_call(make_request(token)):
            started.set()
            # Longer than the parent runs, which ends at once.
            await asyncio.sleep(1.0)

    with (
        contextlib.suppress(ConnectionError),
        node.inbound_registry.register(graphs.make_chain(1.0)) as parent,
    ):
        child = asyncio.create_task(call_child(parent.token))
        await started.wait()
        if is_parent_failed:
            raise ConnectionError
    await asyncio.wait((child,))
    assert child.cancelled() == is_parent_failed


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("child_outcome", "is_shed"),
    [
        pytest.param(
            outcomes.Completed(200, (), call_body.EMPTY),
            True,
            id="refused by the worker",
        ),
        pytest.param(
            outcomes.NotRun(refusals.NoInstance("s1", 0)),
            False,
            id="refusal of a child passed on",
        ),
        pytest.param(
            outcomes.Completed(503, (), call_body.EMPTY, is_worker_shed=True),
            False,
            id="worker shed of a child passed on",
        ),
    ],
)
async def test_only_a_refusal_by_the_worker_itself_counts_as_shed(
    child_outcome: outcomes.Outcome, is_shed: bool
) -> None:
    node = graphs.GraphWorld(GRAPH).nodes["s0-0"]
    # The worker answers 503 after a child call with this outcome.
    node.child_outcome = child_outcome
    request = make_request(None)
    with node.builder.start_call(request) as call_or_refusal:
        assert isinstance(call_or_refusal, calls.Call)
        call = graphs.replace_service(call_or_refusal, "s0")
        async with node.inbound.serve(call) as outcome:
            pass
    match outcome:
        case outcomes.Completed(
            503, is_worker_shed=is_outcome_shed, child_failed=child_failed
        ):
            assert is_outcome_shed == is_shed
            assert child_failed != is_shed
        case unexpected:
            pytest.fail(str(unexpected))
