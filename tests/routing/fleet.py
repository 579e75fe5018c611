"""In-memory instances that an outbound path sends calls to."""

import asyncio
from collections.abc import AsyncIterator, Callable, Sequence
import contextlib
import dataclasses
import random

from kumquatridge import clock
from kumquatridge.admission import admission_decisions
from kumquatridge.admission import controller as admission_controller
from kumquatridge.callpath import inbound
from kumquatridge.callpath import links
from kumquatridge.callpath import outbound
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.chain import inbound_calls
from kumquatridge.chain import retry_budget
from kumquatridge.membership import member as members
from kumquatridge.membership import messages
from kumquatridge.membership import table
from kumquatridge.quarantine import crash_registry
from kumquatridge.routing import chooser as routing
from tests.callpath import graph

SLOTS = 35
# Returns the service time of the next call at an instance, given its name.
ServiceMs = Callable[[str], float]


def make_member(
    instance: str,
    data_centre: str = "landshut",
    state: members.State | None = None,
    warm_up_ms: int = 0,
) -> members.Member:
    """Returns a member that runs the service "planning".

    It is alive unless `state` is given.
    """
    return members.Member(
        instance,
        1,
        data_centre,
        f"{instance}:1",
        f"{instance}:2",
        members.Announcement(
            "planning", f"{instance}:3", SLOTS, SLOTS * 4, warm_up_ms
        ),
        state or members.Alive(),
    )


def make_table(other_members: Sequence[members.Member]) -> table.MemberTable:
    """Returns the member table of a daemon without a worker.

    A member of another data centre is added by a summary of its service.
    """
    own = dataclasses.replace(make_member("own"), announcement=None)
    member_table = table.MemberTable(own)
    for member in other_members:
        if member.data_centre == own.data_centre:
            member_table.apply_update(member)
        else:
            member_table.remote.record_answer(_make_summary_answer(member))
    return member_table


def _make_summary_answer(member: members.Member) -> messages.SummaryAnswer:
    gateway = messages.Gateway(member.instance, member.call_address)
    summary = messages.ServiceSummary("planning", 1, SLOTS, (gateway,))
    return messages.SummaryAnswer(member.data_centre, 1, (summary,))


class FleetLink(links.PeerLink):
    """Runs calls in memory, each instance with an admission controller.

    `sent_instances` has the instance of each call sent, in order.
    """

    def __init__(self, service_ms: ServiceMs) -> None:
        self._service_ms = service_ms
        self.controllers: dict[
            str, admission_controller.AdmissionController
        ] = {}
        self.sent_instances: list[str] = []
        self.unreachable_instances: set[str] = set()

    @contextlib.asynccontextmanager
    async def send(
        self, call: calls.Call, member: members.Member
    ) -> AsyncIterator[outcomes.Outcome]:
        """Runs a call at an instance."""
        self.sent_instances.append(member.instance)
        retries = call.chain.retry_allowance
        if member.instance in self.unreachable_instances:
            unreachable = refusals.Unreachable(member.instance)
            yield outcomes.NotRun(unreachable, retries)
            return
        controller = self.controllers.setdefault(
            member.instance, admission_controller.AdmissionController(SLOTS)
        )
        async with controller.admit(call) as decision:
            match decision:
                case admission_decisions.Refused(refusal):
                    yield outcomes.NotRun(
                        refusal, retries, controller.make_report()
                    )
                case admission_decisions.Admitted():
                    service_ms = self._service_ms(member.instance)
                    await asyncio.sleep(service_ms / 1000.0)
                    answer = outcomes.Completed(
                        200, (), call_body.EMPTY, retries
                    )
                    controller.record_answer(call, service_ms, answer)
                    yield dataclasses.replace(
                        answer, report=controller.make_report()
                    )

    def send_to_home(
        self, call: calls.Call, member: members.Member
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Sends a call like `send`."""
        return self.send(call, member)


class Sender:
    """A daemon without a worker that sends calls to the members of a table."""

    def __init__(
        self, members_table: table.MemberTable, link: FleetLink
    ) -> None:
        self.recorder = graph.CountingRecorder()
        self.chooser = routing.InstanceChooser(members_table, seed=1)
        controller = admission_controller.AdmissionController(0)
        own = inbound.InboundPath(
            members_table,
            controller,
            inbound_calls.InboundCallRegistry(),
            _NoWorker(),
            self.recorder,
            crashes=crash_registry.CrashRegistry(
                crash_registry.QuarantineSettings(), "own", lambda: None
            ),
        )
        self.path = outbound.OutboundPath(
            members_table,
            self.chooser,
            own,
            link,
            self.recorder,
            retry_budgets=retry_budget.RetryBudgets(
                retry_budget.RetryBudgetSettings()
            ),
        )

    async def send(self, call: calls.Call) -> outcomes.Outcome:
        """Sends a call and returns its outcome."""
        async with self.path.dispatch(call) as outcome:
            return outcome


class _NoWorker(links.WorkerLink):
    def send(
        self, call: calls.Call, address: str, token: str
    ) -> contextlib.AbstractAsyncContextManager[outcomes.Outcome]:
        """Fails: this daemon has no worker."""
        raise AssertionError("a call was sent to a daemon without a worker")


@dataclasses.dataclass(frozen=True, slots=True)
class SentCall:
    """The outcome of one call; `started_ms` is since the start of the load."""

    outcome: outcomes.Outcome
    started_ms: float
    latency_ms: float


async def run_load(
    senders: Sequence[Sender],
    rate_per_s: float,
    duration_s: float,
    make_call: Callable[[], calls.Call],
    rng: random.Random,
) -> list[SentCall]:
    """Sends calls as a Poisson process, each from a random sender.

    Returns the results in the order in which the calls end.
    """
    results: list[SentCall] = []
    load_started_ms = clock.get_now_ms()

    async def send_call() -> None:
        started_ms = clock.get_now_ms()
        outcome = await rng.choice(senders).send(make_call())
        latency_ms = clock.get_now_ms() - started_ms
        results.append(
            SentCall(outcome, started_ms - load_started_ms, latency_ms)
        )

    async with asyncio.TaskGroup() as group:
        while clock.get_now_ms() - load_started_ms < duration_s * 1000.0:
            await asyncio.sleep(rng.expovariate(rate_per_s))
            group.create_task(send_call())
    return results
