"""Measures the processor time of admission and of the choice of an instance.

Admission is measured with different numbers of waiting calls, the choice with
different numbers of instances.

Run with `python -m kumquatridge.benchmarks.decisions`.
"""

import asyncio
from collections.abc import Awaitable, Callable
import time

import click

from kumquatridge import clock
from kumquatridge.admission import admission_decisions
from kumquatridge.admission import controller as admission_controller
from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import outcomes
from kumquatridge.chain import context
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.routing import choices
from kumquatridge.routing import chooser as routing
from kumquatridge.settings import policy as settings_policy

SERVICE = "planning"
INSTANCE_COUNTS = (10, 100, 500, 1500)
WAITING_CALLS = (0, 100, 1000, 10_000)
ROUNDS = 5
DECISION_COUNT = 4000
DEADLINE_MS = 600_000
SLOTS = 100

POLICY = settings_policy.RoutePolicy(
    service=SERVICE,
    route="lookup",
    importance=call_importance.Importance.NORMAL,
    idempotent=True,
    deadline_ms=DEADLINE_MS,
    retry_allowance=3,
    long_running=False,
    max_body_bytes=1 << 20,
    queue_wait_ms=DEADLINE_MS,
)
ANSWER = outcomes.Completed(200, (), call_body.EMPTY)


def make_call(number: int) -> calls.Call:
    """Returns a call with a root ID of its own."""
    return calls.Call(
        service=SERVICE,
        method="GET",
        path="/",
        headers=(),
        body=call_body.EMPTY,
        caller="",
        idempotency_key=None,
        policy=POLICY,
        chain=context.ChainContext(
            root_id=f"{number:032x}",
            importance=POLICY.importance,
            expires_at_ms=clock.get_now_ms() + DEADLINE_MS,
            retry_allowance=0,
            depth=0,
        ),
    )


def make_table(count: int) -> table.MemberTable:
    """Returns a table with `count` instances of one service."""
    announcement = members.Announcement(SERVICE, "", SLOTS, SLOTS * 4)
    instances = [
        members.Member(f"i{number}", 1, "here", "", "", announcement)
        for number in range(count)
    ]
    member_table = table.MemberTable(instances[0])
    for member in instances[1:]:
        member_table.apply_update(member)
    return member_table


async def measure_us(decide: Callable[[calls.Call], Awaitable[None]]) -> float:
    """Returns the processor time of a decision in microseconds.

    It is the mean over DECISION_COUNT decisions, in the fastest of ROUNDS
    rounds.
    """
    prepared = [make_call(number) for number in range(DECISION_COUNT)]
    rounds_us = []
    for _ in range(ROUNDS):
        started_ns = time.process_time_ns()
        for call in prepared:
            await decide(call)
        spent_ns = time.process_time_ns() - started_ns
        rounds_us.append(spent_ns / 1000.0 / DECISION_COUNT)
    return min(rounds_us)


async def measure_choice_us(count: int) -> float:
    """Returns the time of a choice and of recording its answer."""
    chooser = routing.InstanceChooser(make_table(count), seed=1)

    async def decide(call: calls.Call) -> None:
        match chooser.choose(call, frozenset()):
            case choices.Chosen(member):
                with chooser.track(call, member.instance) as record:
                    record.finish(ANSWER)
            case choices.NoneAvailable():
                pass

    return await measure_us(decide)


async def measure_admission_us() -> float:
    """Returns the time of admission to a free slot and recording its answer."""
    controller = admission_controller.AdmissionController(SLOTS)

    async def decide(call: calls.Call) -> None:
        async with controller.admit(call):
            controller.record_answer(call, 1.0, ANSWER)
            controller.make_report()

    return await measure_us(decide)


async def measure_queue_us(waiting: int) -> float:
    """Returns the processor time to queue and admit a call.

    All calls, `waiting` and DECISION_COUNT more, are started at once and wait
    for a single slot. Each call has a task of its own, whose time is included.
    """
    controller = admission_controller.AdmissionController(slots=1)

    async def hold(call: calls.Call) -> None:
        async with controller.admit(call) as decision:
            match decision:
                case admission_decisions.Admitted():
                    await asyncio.sleep(0)
                case admission_decisions.Refused():
                    pass

    total = waiting + DECISION_COUNT
    prepared = [make_call(number) for number in range(total)]
    started_ns = time.process_time_ns()
    async with asyncio.TaskGroup() as group:
        for call in prepared:
            group.create_task(hold(call))
    return (time.process_time_ns() - started_ns) / 1000.0 / total


async def measure() -> None:
    """Measures all decisions and prints one line for each."""
    click.echo(f"admit, free slot: {await measure_admission_us():.1f} us")
    for waiting in WAITING_CALLS:
        total = waiting + DECISION_COUNT
        spent_us = await measure_queue_us(waiting)
        click.echo(f"admit, {total} wait: {spent_us:.1f} us with its task")
    for count in INSTANCE_COUNTS:
        spent_us = await measure_choice_us(count)
        click.echo(f"choose, {count} instances: {spent_us:.1f} us")


if __name__ == "__main__":
    asyncio.run(measure())
