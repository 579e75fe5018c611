"""What a chain inherits, and how it is cut off."""

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

GRAPH = graphs.Graph(
    ((1,), ()), allowance=4, fault_ratio=0.0, application_tries=1, seed=1
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


@pytest.mark.looptime
@pytest.mark.parametrize("token", ["", "forged", "0" * 32])
async def test_unknown_token_is_no_root(token: str) -> None:
    node = graphs.GraphWorld(GRAPH).nodes["s0-0"]
    with node.builder.start_call(make_request(token)) as opened:
        assert opened == refusals.ParentEnded()


@pytest.mark.looptime
async def test_token_of_an_ended_call_is_refused() -> None:
    node = graphs.GraphWorld(GRAPH).nodes["s0-0"]
    with node.inbound_registry.register(graphs.make_chain(1.0)) as record:
        pass
    with node.builder.start_call(make_request(record.token)) as opened:
        assert opened == refusals.ParentEnded()


@pytest.mark.looptime
@pytest.mark.parametrize("timeout_ms", [None, 10, 10**9])
async def test_child_inherits(timeout_ms: int | None) -> None:
    node = graphs.GraphWorld(GRAPH).nodes["s0-0"]
    chain = graphs.make_chain(1.0)
    with (
        node.inbound_registry.register(chain, "shop") as record,
        node.builder.start_call(
            make_request(record.token, timeout_ms)
        ) as opened,
    ):
        match opened:
            case calls.Call():
                assert opened.chain.importance == chain.importance
                assert opened.chain.root_id == chain.root_id
                assert opened.chain.expires_at_ms <= chain.expires_at_ms
                assert opened.chain.depth == 1
                assert opened.chain.retry_allowance == 0
                assert opened.caller == "shop"
            case refusal:
                pytest.fail(str(refusal))


@dataclasses.dataclass(frozen=True, slots=True)
class HeldCase:
    """A call that waited 7 ms and ran for 20 ms before its child began."""

    depth: int
    above_is_contended: bool
    is_contended: bool
    waited_ms: float
    child_is_contended: bool


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(HeldCase(0, False, False, 0.0, False), id="root"),
        pytest.param(HeldCase(2, False, False, 10.0, False), id="nested"),
        pytest.param(
            HeldCase(2, True, False, 10.0, True), id="above contended"
        ),
        pytest.param(HeldCase(2, False, True, 10.0, True), id="contended"),
    ],
)
async def test_child_knows_what_is_held_above(case: HeldCase) -> None:
    node = graphs.GraphWorld(GRAPH).nodes["s0-0"]
    chain = dataclasses.replace(
        graphs.make_chain(1.0),
        depth=case.depth,
        slot_held_ms=5.0,
        waited_ms=3.0,
        is_contended=case.above_is_contended,
    )
    with node.inbound_registry.register(
        chain, "shop", 7.0, case.is_contended
    ) as record:
        await asyncio.sleep(0.02)
        with node.builder.start_call(make_request(record.token)) as opened:
            match opened:
                case calls.Call(chain=child):
                    assert child.slot_held_ms == pytest.approx(25.0)
                    assert child.waited_ms == case.waited_ms
                    assert child.is_contended == case.child_is_contended
                case refusal:
                    pytest.fail(str(refusal))


@pytest.mark.looptime
@pytest.mark.parametrize(
    "is_cut_off",
    [pytest.param(True, id="cut off"), pytest.param(False, id="ends")],
)
async def test_children_of_a_lost_call_are_cancelled(is_cut_off: bool) -> None:
    node = graphs.GraphWorld(GRAPH).nodes["s0-0"]
    started = asyncio.Event()

    async def call_child(token: str) -> None:
        with node.builder.start_call(make_request(token)):
            started.set()
            await asyncio.sleep(1.0)

    with (
        contextlib.suppress(ConnectionError),
        node.inbound_registry.register(graphs.make_chain(1.0)) as record,
    ):
        child = asyncio.create_task(call_child(record.token))
        await started.wait()
        if is_cut_off:
            raise ConnectionError
    await asyncio.wait((child,))
    assert child.cancelled() == is_cut_off


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("child", "is_shed"),
    [
        pytest.param(
            outcomes.Completed(200, (), call_body.EMPTY),
            True,
            id="the worker's own refusal",
        ),
        pytest.param(
            outcomes.NotRun(refusals.NoInstance("s1", 0)),
            False,
            id="a child's refusal passed up",
        ),
        pytest.param(
            outcomes.Completed(503, (), call_body.EMPTY, is_worker_shed=True),
            False,
            id="a child's shed passed up",
        ),
    ],
)
async def test_workers_refusal_is_told_from_its_childs(
    child: outcomes.Outcome, is_shed: bool
) -> None:
    node = graphs.GraphWorld(GRAPH).nodes["s0-0"]
    node.child = child
    request = make_request(None)
    with node.builder.start_call(request) as opened:
        assert isinstance(opened, calls.Call)
        call = graphs.readdress(opened, "s0")
        async with node.inbound.serve(call) as outcome:
            pass
    match outcome:
        case outcomes.Completed(
            503, is_worker_shed=shed, child_failed=child_failed
        ):
            assert shed == is_shed
            assert child_failed != is_shed
        case other:
            pytest.fail(str(other))
