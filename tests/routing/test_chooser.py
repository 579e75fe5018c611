"""Selection of instances, and how answers and reports change it."""

import asyncio
import collections
from collections.abc import Sequence
import dataclasses

import pytest

from kumquatridge.calls import body as call_body
from kumquatridge.calls import importance as call_importance
from kumquatridge.calls import load_reports
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals
from kumquatridge.membership import member as members
from kumquatridge.routing import choices
from kumquatridge.routing import chooser as routing
from kumquatridge.routing import instances
from kumquatridge.routing import token_budget
from tests import calls_factory
from tests.routing import fleet

IMPORTANCE = call_importance.Importance
SUSPECTED = members.Suspected(0.0, "silent")
# The levels of both reports are an importance, a depth class and the highest
# admitted hash bucket; 127 is the highest of all. Then follow the calls queued
# or in progress, the limit and the typical latency in milliseconds.
# Refuses the NORMAL calls of these tests.
REFUSING = load_reports.LoadReport(IMPORTANCE.CRITICAL, 0, 127, 35, 35, 20.0)
# Admits all calls, but the instance has no free slot.
FULL = load_reports.LoadReport(IMPORTANCE.BACKGROUND, 0, 127, 40, 35, 20.0)
# How often `count_choices` selects an instance.
CHOICES = 2000


def choose(
    chooser: routing.InstanceChooser, tried: frozenset[str] = frozenset()
) -> str:
    """Returns the chosen instance, or the code of the refusal."""
    match chooser.choose(calls_factory.make_call(), tried):
        case choices.Chosen(member):
            return member.instance
        case choices.NoneAvailable(refusal):
            return refusal.code


def count_choices(chooser: routing.InstanceChooser) -> dict[str, int]:
    """Returns the number of results by instance or by code of the refusal."""
    return collections.Counter(choose(chooser) for _ in range(CHOICES))


def run_call(
    chooser: routing.InstanceChooser,
    instance: str,
    report: load_reports.LoadReport | None = None,
    refusal: refusals.Refusal | None = None,
) -> None:
    """Runs a call at an instance that answers, or refuses it."""
    call = calls_factory.make_call()
    answer: outcomes.Outcome = outcomes.Completed(
        200, (), call_body.EMPTY, report=report
    )
    if refusal is not None:
        answer = outcomes.NotRun(refusal, report=report)
    with chooser.track(call, instance) as record:
        record.finish(answer)


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceCase:
    """The members, the instances tried, and the results that must occur.

    `chosen` has the names of instances, or the code of the refusal.
    """

    other_members: Sequence[members.Member]
    tried: frozenset[str]
    chosen: set[str]


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            ChoiceCase(
                [
                    fleet.make_member("local"),
                    fleet.make_member("remote", "freising"),
                ],
                frozenset(),
                {"local"},
            ),
            id="local before remote",
        ),
        pytest.param(
            ChoiceCase(
                [
                    fleet.make_member("local"),
                    fleet.make_member("remote", "freising"),
                ],
                frozenset({"local"}),
                {"remote"},
            ),
            id="remote if no local one is left",
        ),
        pytest.param(
            ChoiceCase(
                [
                    fleet.make_member("alive", "freising"),
                    fleet.make_member("suspected", state=SUSPECTED),
                ],
                frozenset(),
                {"alive"},
            ),
            id="suspected last",
        ),
        pytest.param(
            ChoiceCase(
                [
                    fleet.make_member("suspected", state=SUSPECTED),
                    fleet.make_member("leaving", state=members.Leaving()),
                    fleet.make_member("dead", state=members.Dead(0.0)),
                ],
                frozenset(),
                {"suspected"},
            ),
            id="leaving and dead never",
        ),
        pytest.param(
            ChoiceCase(
                [fleet.make_member("only")],
                frozenset({"only"}),
                {"no_instance"},
            ),
            id="none left",
        ),
    ],
)
async def test_order_of_preference(case: ChoiceCase) -> None:
    chooser = routing.InstanceChooser(
        fleet.make_table(case.other_members), seed=1
    )
    chosen = {choose(chooser, case.tried) for _ in range(100)}
    assert chosen == case.chosen


@pytest.mark.looptime
async def test_spill_stays_within_its_budget() -> None:
    other_members = [
        fleet.make_member("local"),
        fleet.make_member("remote", "freising"),
    ]
    chooser = routing.InstanceChooser(fleet.make_table(other_members), seed=1)
    run_call(chooser, "local", FULL)
    counts = count_choices(chooser)
    max_count = token_budget.MAX_TOKENS + routing.SPILL_RATIO * CHOICES
    assert 0 < counts["remote"] <= max_count
    assert counts["local"] == CHOICES - counts["remote"]


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("age_s", "expected"),
    [
        pytest.param(0.03, "local", id="not overdue"),
        pytest.param(0.3, "remote", id="overdue"),
    ],
)
async def test_overdue_call_sends_the_next_one_to_another_instance(
    age_s: float, expected: str
) -> None:
    other_members = [
        fleet.make_member("local"),
        fleet.make_member("remote", "freising"),
    ]
    chooser = routing.InstanceChooser(fleet.make_table(other_members), seed=1)
    # The typical latency becomes 20 ms. A call is overdue enough to spill after
    # 2.5 times as long, 50 ms.
    for _ in range(40):
        with chooser.track(calls_factory.make_call(), "local") as record:
            await asyncio.sleep(0.02)
            record.finish(outcomes.Completed(200, (), call_body.EMPTY))
    with chooser.track(calls_factory.make_call(), "local"):
        await asyncio.sleep(age_s)
        assert choose(chooser) == expected


@pytest.mark.looptime
async def test_hedged_request_goes_to_a_free_slot_only() -> None:
    other_members = [fleet.make_member("free"), fleet.make_member("full")]
    chooser = routing.InstanceChooser(fleet.make_table(other_members), seed=1)
    run_call(chooser, "full", FULL)
    call = calls_factory.make_call()
    assert chooser.choose_hedge(call, {"free"}) is None
    hedged = chooser.choose_hedge(call, {"full"})
    assert hedged is not None
    assert hedged.instance == "free"


@pytest.mark.looptime
async def test_slow_start_raises_the_share_of_a_new_instance() -> None:
    other_members = [fleet.make_member("warm")]
    table = fleet.make_table(other_members)
    chooser = routing.InstanceChooser(table, seed=1)
    await asyncio.sleep(1.0)
    # The chooser sees the first instance now.
    choose(chooser)
    table.apply_update(fleet.make_member("warming", warm_up_ms=10_000))
    # Measured at 0, 5 and 10 s of a warm-up time of 10 s. Both instances get
    # half of the calls in the end.
    shares = []
    for _ in range(3):
        shares.append(count_choices(chooser)["warming"] / CHOICES)
        await asyncio.sleep(5.0)
    assert shares[0] < 0.2 < shares[1] < 0.42 < shares[2] < 0.6


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("count", "max_ejected"), [(1, 0), (2, 1), (3, 1), (4, 2), (9, 4)]
)
async def test_at_most_half_of_the_instances_are_ejected(
    count: int, max_ejected: int
) -> None:
    instance_names = [f"instance-{index}" for index in range(count)]
    table = fleet.make_table(
        [fleet.make_member(instance) for instance in instance_names]
    )
    chooser = routing.InstanceChooser(table, seed=1)
    choose(chooser)
    for instance in instance_names:
        # Many more failures than the five that eject an instance.
        for _ in range(20):
            run_call(chooser, instance, refusal=refusals.Unreachable(instance))
    assert len(count_choices(chooser)) == count - max_ejected


@pytest.mark.looptime
async def test_ejected_instance_is_probed_and_readmitted() -> None:
    instance_names = ["good-1", "good-2", "bad"]
    table = fleet.make_table(
        [fleet.make_member(instance) for instance in instance_names]
    )
    link = fleet.FleetLink(lambda _: 10.0)
    sender = fleet.Sender(table, link)
    link.unreachable_instances.add("bad")

    async def send(count: int) -> int:
        """Returns how many of the calls were sent to the bad instance."""
        link.sent_instances.clear()
        for _ in range(count):
            await sender.send(calls_factory.make_call())
        return link.sent_instances.count("bad")

    # The bad instance is ejected, and then probed a few times only. After its
    # return, about a third of the calls would be sent to it.
    await send(200)
    assert 1 <= await send(200) <= 20
    link.unreachable_instances.clear()
    await send(400)
    assert await send(200) >= 30


@pytest.mark.looptime
async def test_refuses_early_until_the_report_is_stale() -> None:
    table = fleet.make_table([fleet.make_member("full")])
    chooser = routing.InstanceChooser(table, seed=1)
    refusal = refusals.Overloaded(0, 35, 1000)
    run_call(chooser, "full", REFUSING, refusal)
    counts = count_choices(chooser)
    probe_ratio = counts["full"] / CHOICES
    assert counts["overloaded"] + counts["full"] == CHOICES
    # `REFUSAL_PROBE_RATIO`, a sixteenth, is 0.0625.
    assert 0.03 < probe_ratio < 0.1
    await asyncio.sleep(instances.REPORT_LIFETIME_MS / 1000.0)
    assert choose(chooser) == "full"


@pytest.mark.looptime
async def test_draining_instance_receives_no_more_calls() -> None:
    other_members = [fleet.make_member("stays"), fleet.make_member("leaves")]
    chooser = routing.InstanceChooser(fleet.make_table(other_members), seed=1)
    choose(chooser)
    run_call(chooser, "leaves", refusal=refusals.Draining("leaves"))
    assert set(count_choices(chooser)) == {"stays"}


# The local instance fails every `failure_interval`-th call; 0 means none.
@pytest.mark.looptime
@pytest.mark.parametrize(
    ("failure_interval", "min_remote_ratio", "max_remote_ratio"),
    [
        pytest.param(0, 0.0, 0.05, id="no failures"),
        pytest.param(2, 0.8, 1.0, id="fails every second call"),
        pytest.param(20, 0.0, 0.2, id="fails a few"),
    ],
)
async def test_calls_spill_from_an_instance_that_fails_part_of_them(
    failure_interval: int, min_remote_ratio: float, max_remote_ratio: float
) -> None:
    other_members = [
        fleet.make_member("local"),
        fleet.make_member("remote", "freising"),
    ]
    chooser = routing.InstanceChooser(
        fleet.make_table(other_members),
        1,
        routing.RoutingSettings(spill_ratio=1.0),
    )
    sent: collections.Counter[str] = collections.Counter()
    for number in range(400):
        await asyncio.sleep(0.005)
        instance = choose(chooser)
        is_failing = (
            instance == "local"
            and failure_interval
            and number % failure_interval == 0
        )
        refusal = refusals.WorkerRefused(503, 200) if is_failing else None
        run_call(chooser, instance, refusal=refusal)
        # The first 100 calls are a warm-up and not counted.
        sent[instance] += number >= 100
    assert (
        min_remote_ratio
        <= sent["remote"] / sum(sent.values())
        <= max_remote_ratio
    )
