"""Guards the outcome that a caller gets after several attempts.

A refusal of the last attempt must not reach the caller as proof that nothing
ran when an earlier attempt may have run.
"""

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

# The numbers are the admission level, the limit and `retry_after_ms`.
OVERLOADED = outcomes.NotRun(refusals.Overloaded(3, 1, 0))
SERVED = outcomes.Completed(200, (), call_body.EMPTY)
SHED = outcomes.Completed(503, (), call_body.EMPTY, is_worker_shed=True)
LOST = outcomes.Unknown("lost")


class ScriptedServer:
    """Gives each attempt, at whichever instance, the next scripted outcome.

    `aborted` counts the attempts that an error ended.
    """

    def __init__(self, answers: tuple[outcomes.Outcome, ...]) -> None:
        self._answers = iter(answers)
        self.attempts = 0
        self.aborted = 0

    @contextlib.asynccontextmanager
    async def serve(self, call: calls.Call) -> AsyncIterator[outcomes.Outcome]:
        """Answers an attempt."""
        self.attempts += 1
        try:
            yield next(self._answers)
        except BaseException:
            self.aborted += 1
            raise

    def send(
        self, call: calls.Call, member: members.Member
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Answers an attempt at a peer."""
        return self.serve(call)

    send_to_home = send


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Outcomes of the attempts, and the type of the expected outcome.

    `attempts` is the expected number of attempts.
    """

    answers: tuple[outcomes.Outcome, ...]
    expected: type[outcomes.Outcome]
    attempts: int
    idempotent: bool = True
    retry_allowance: int = 3


@contextlib.asynccontextmanager
async def dispatch(
    scripted_server: ScriptedServer, case: Case
) -> AsyncIterator[outcomes.Outcome]:
    """Dispatches a call whose attempts a scripted server answers."""
    # One service, no faults, no application retries.
    graph = graphs.Graph(
        ((),), case.retry_allowance, 0.0, 1, seed=1, idempotent=case.idempotent
    )
    world = graphs.GraphWorld(graph)
    node = world.nodes["s0-0"]
    path = outbound.OutboundPath(
        node.members,
        graphs.make_chooser(node.members, seed=1),
        scripted_server,
        scripted_server,
        world.recorder,
        retry_budgets=graphs.make_retry_budgets(),
    )
    # Without a token the request is that of a root.
    request = dataclasses.replace(graphs.make_child_request("x"), token=None)
    request = dataclasses.replace(request, service="s0")
    with node.builder.start_call(request) as call_or_refusal:
        assert isinstance(call_or_refusal, calls.Call)
        async with path.dispatch(call_or_refusal) as outcome:
            yield outcome


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            Case((OVERLOADED, SERVED), outcomes.Completed, 2),
            id="retry served",
        ),
        pytest.param(
            Case((OVERLOADED, OVERLOADED), outcomes.NotRun, 2),
            id="all refused",
        ),
        pytest.param(
            Case((LOST, OVERLOADED), outcomes.Unknown, 2),
            id="first lost, retry refused",
        ),
        pytest.param(
            Case((SHED, OVERLOADED), outcomes.Unknown, 2),
            id="first shed, retry refused",
        ),
        pytest.param(
            Case((LOST,), outcomes.Unknown, 1, idempotent=False),
            id="not idempotent, lost",
        ),
        pytest.param(
            Case((SHED,), outcomes.Completed, 1, idempotent=False),
            id="not idempotent, shed",
        ),
        pytest.param(
            Case((OVERLOADED, SERVED), outcomes.Completed, 2, idempotent=False),
            id="not idempotent, refused, retry served",
        ),
        pytest.param(
            Case((OVERLOADED,), outcomes.NotRun, 1, retry_allowance=0),
            id="refused without retry allowance",
        ),
    ],
)
async def test_outcome_covers_all_attempts(case: Case) -> None:
    scripted_server = ScriptedServer(case.answers)
    async with dispatch(scripted_server, case) as outcome:
        assert isinstance(outcome, case.expected)
    assert scripted_server.attempts == case.attempts
    assert scripted_server.aborted == 0


@pytest.mark.looptime
async def test_attempt_is_aborted_when_the_caller_disconnects() -> None:
    scripted_server = ScriptedServer((SERVED,))
    case = Case((SERVED,), outcomes.Completed, 1)
    with pytest.raises(ConnectionError):
        async with dispatch(scripted_server, case):
            raise ConnectionError
    assert scripted_server.aborted == 1
