"""Wait bounds of nested calls while slots above them are contended."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses

import pytest

from kumquatridge import clock
from kumquatridge.admission import admission_decisions
from kumquatridge.admission import controller as admission_controller
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import refusals
from tests import calls_factory

Importance = call_importance.Importance
QUEUE_WAIT_MS = float(calls_factory.POLICY.queue_wait_ms)
SERVICE_MS = 20.0
SLOTS = 2
RELEASE_INTERVAL_MS = SERVICE_MS / SLOTS
ROUNDING_MS = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A nested call that finds no free slot, and its expected wait bound.

    `slot_held_ms`, `waited_ms` and `is_contended` are values of its chain.
    """

    slot_held_ms: float
    waited_ms: float
    expected_wait_ms: float
    is_contended: bool = True
    importance: call_importance.Importance = Importance.NORMAL

    def make_call(self) -> calls.Call:
        """Returns the nested call of this case."""
        call = calls_factory.make_call(
            importance=self.importance, depth=5, remaining_ms=10_000.0
        )
        chain = dataclasses.replace(
            call.chain,
            slot_held_ms=self.slot_held_ms,
            waited_ms=self.waited_ms,
            is_contended=self.is_contended,
        )
        return dataclasses.replace(call, chain=chain)


@contextlib.asynccontextmanager
async def hold_all_slots(
    controller: admission_controller.AdmissionController,
) -> AsyncIterator[None]:
    """Records one service time, which becomes the median; holds every slot."""
    call = calls_factory.make_call(importance=Importance.CRITICAL, depth=9)
    controller.record_answer(call, SERVICE_MS, calls_factory.ANSWER)
    async with contextlib.AsyncExitStack() as stack:
        for _ in range(SLOTS):
            await stack.enter_async_context(controller.admit(call))
        yield


# Cases give, in milliseconds, the time for which the calls above have held
# slots, the time for which they have waited, and the expected wait bound.
@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            Case(100.0, 0.0, 50.0), id="half of the time worked above"
        ),
        pytest.param(Case(100.0, 30.0, 20.0), id="minus the time waited above"),
        pytest.param(
            Case(100.0, 60.0, RELEASE_INTERVAL_MS),
            id="at least one release interval",
        ),
        pytest.param(
            Case(5000.0, 0.0, QUEUE_WAIT_MS),
            id="at most the queue time-out of the route",
        ),
        pytest.param(
            Case(100.0, 0.0, QUEUE_WAIT_MS, is_contended=False),
            id="slots above are not contended",
        ),
        pytest.param(
            Case(100.0, 0.0, QUEUE_WAIT_MS, importance=Importance.CRITICAL),
            id="critical call",
        ),
    ],
)
async def test_nested_call_without_slot_is_refused_at_its_wait_bound(
    case: Case,
) -> None:
    controller = admission_controller.AdmissionController(SLOTS)
    async with hold_all_slots(controller):
        started_ms = clock.get_now_ms()
        async with controller.admit(case.make_call()) as decision:
            waited_ms = clock.get_now_ms() - started_ms
    match decision:
        case admission_decisions.Refused(refusals.QueueTimeout()):
            assert waited_ms == pytest.approx(
                case.expected_wait_ms, abs=ROUNDING_MS
            )
        case unexpected:
            pytest.fail(str(unexpected))


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("senders", "is_contended"),
    [
        pytest.param(1, False, id="sequential calls"),
        pytest.param(8, True, id="standing queue"),
    ],
)
async def test_admitted_call_reports_contention_with_standing_queue(
    senders: int, is_contended: bool
) -> None:
    controller = admission_controller.AdmissionController(SLOTS)
    contended: list[bool] = []

    async def send_repeatedly() -> None:
        for _ in range(20):
            async with controller.admit(calls_factory.make_call()) as decision:
                match decision:
                    case admission_decisions.Admitted() as admitted:
                        contended.append(admitted.is_contended)
                    case admission_decisions.Refused():
                        pass
                await asyncio.sleep(SERVICE_MS / 1000.0)

    async with asyncio.TaskGroup() as group:
        for _ in range(senders):
            group.create_task(send_repeatedly())
    assert any(contended) == is_contended
