"""What a caller is told after several attempts."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses

import pytest

from kumquatridge.callpath import outbound
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.membership import member as members
from tests.callpath import graph as graphs

OVERLOADED = outcomes.NotRun(refusals.Overloaded(3, 1, 0))
SERVED = outcomes.Completed(200, (), call_body.EMPTY)
SHED = outcomes.Completed(503, (), call_body.EMPTY, is_worker_shed=True)
LOST = outcomes.Unknown("lost")


class Script:
    """Answers attempts one after another, wherever they go."""

    def __init__(self, answers: tuple[outcomes.Outcome, ...]) -> None:
        self._answers = iter(answers)
        self.attempts = 0
        self.abandoned = 0

    @contextlib.asynccontextmanager
    async def serve(self, call: calls.Call) -> AsyncIterator[outcomes.Outcome]:
        """Answers an attempt."""
        self.attempts += 1
        try:
            yield next(self._answers)
        except BaseException:
            self.abandoned += 1
            raise

    def send(
        self, call: calls.Call, member: members.Member
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Answers an attempt at a peer."""
        return self.serve(call)

    send_home = send


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Answers to the attempts, and the kind of outcome that is told."""

    answers: tuple[outcomes.Outcome, ...]
    told: type[outcomes.Outcome]
    attempts: int
    idempotent: bool = True
    allowance: int = 3


@contextlib.asynccontextmanager
async def dispatch(
    script: Script, case: Case
) -> AsyncIterator[outcomes.Outcome]:
    """Dispatches a call whose attempts a script answers."""
    graph = graphs.Graph(
        ((),), case.allowance, 0.0, 1, seed=1, idempotent=case.idempotent
    )
    world = graphs.GraphWorld(graph)
    node = world.nodes["s0-0"]
    path = outbound.OutboundPath(
        node.members,
        graphs.make_chooser(node.members, seed=1),
        script,
        script,
        world.recorder,
        retry_budgets=graphs.make_retry_budgets(),
    )
    request = dataclasses.replace(graphs.make_child_request("x"), token=None)
    request = dataclasses.replace(request, service="s0")
    with node.builder.start_call(request) as opened:
        assert isinstance(opened, calls.Call)
        async with path.dispatch(opened) as outcome:
            yield outcome


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            Case((OVERLOADED, SERVED), outcomes.Completed, 2),
            id="another instance has room",
        ),
        pytest.param(
            Case((OVERLOADED, OVERLOADED), outcomes.NotRun, 2),
            id="none has room",
        ),
        pytest.param(
            Case((LOST, OVERLOADED), outcomes.Unknown, 2),
            id="the first may have run",
        ),
        pytest.param(
            Case((SHED, OVERLOADED), outcomes.Unknown, 2),
            id="the first worker saw it",
        ),
        pytest.param(
            Case((LOST,), outcomes.Unknown, 1, idempotent=False),
            id="not idempotent and lost",
        ),
        pytest.param(
            Case((SHED,), outcomes.Completed, 1, idempotent=False),
            id="not idempotent and shed",
        ),
        pytest.param(
            Case((OVERLOADED, SERVED), outcomes.Completed, 2, idempotent=False),
            id="not idempotent and not run",
        ),
        pytest.param(
            Case((OVERLOADED,), outcomes.NotRun, 1, allowance=0),
            id="no allowance",
        ),
    ],
)
async def test_outcome_after_attempts(case: Case) -> None:
    script = Script(case.answers)
    async with dispatch(script, case) as outcome:
        assert isinstance(outcome, case.told)
    assert script.attempts == case.attempts
    assert script.abandoned == 0


@pytest.mark.looptime
async def test_attempt_learns_that_its_caller_has_left() -> None:
    script = Script((SERVED,))
    case = Case((SERVED,), outcomes.Completed, 1)
    with pytest.raises(ConnectionError):
        async with dispatch(script, case):
            raise ConnectionError
    assert script.abandoned == 1
