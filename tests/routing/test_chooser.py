"""Which instance is chosen, and what is learnt from its answers."""

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
from kumquatridge.routing import call_credits
from kumquatridge.routing import choices
from kumquatridge.routing import chooser as routing
from kumquatridge.routing import instances
from tests import calls_factory
from tests.routing import fleet

IMPORTANCE = call_importance.Importance
SUSPECTED = members.Suspected(0.0, "silent")
REFUSING = load_reports.LoadReport(IMPORTANCE.CRITICAL, 0, 127, 35, 35, 20.0)
FULL = load_reports.LoadReport(IMPORTANCE.BACKGROUND, 0, 127, 40, 35, 20.0)
CHOICES = 2000


def choose(
    chooser: routing.InstanceChooser, tried: frozenset[str] = frozenset()
) -> str:
    match chooser.choose(calls_factory.make_call(), tried):
        case choices.Chosen(member):
            return member.instance
        case choices.NoneLeft(refusal):
            return refusal.code


def count_choices(chooser: routing.InstanceChooser) -> dict[str, int]:
    return collections.Counter(choose(chooser) for _ in range(CHOICES))


def finish(
    chooser: routing.InstanceChooser,
    instance: str,
    report: load_reports.LoadReport | None = None,
    refusal: refusals.Refusal | None = None,
) -> None:
    call = calls_factory.make_call()
    answer: outcomes.Outcome = outcomes.Completed(
        200, (), call_body.EMPTY, report=report
    )
    if refusal is not None:
        answer = outcomes.NotRun(refusal, report=report)
    with chooser.track(call, instance) as record:
        record.finish(answer)


@dataclasses.dataclass(frozen=True, slots=True)
class PlaceCase:
    """Members by state and place, and the instances that may be chosen."""

    found: Sequence[members.Member]
    tried: frozenset[str]
    chosen: set[str]


@pytest.mark.looptime
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(
            PlaceCase(
                [
                    fleet.make_member("near"),
                    fleet.make_member("far", "freising"),
                ],
                frozenset(),
                {"near"},
            ),
            id="own data centre first",
        ),
        pytest.param(
            PlaceCase(
                [
                    fleet.make_member("near"),
                    fleet.make_member("far", "freising"),
                ],
                frozenset({"near"}),
                {"far"},
            ),
            id="another when none is left in the own",
        ),
        pytest.param(
            PlaceCase(
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
            PlaceCase(
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
            PlaceCase(
                [fleet.make_member("one")], frozenset({"one"}), {"no_instance"}
            ),
            id="none left",
        ),
    ],
)
async def test_order_of_places(case: PlaceCase) -> None:
    chooser = routing.InstanceChooser(fleet.make_table(case.found), seed=1)
    chosen = {choose(chooser, case.tried) for _ in range(100)}
    assert chosen == case.chosen


@pytest.mark.looptime
async def test_spill_is_bounded() -> None:
    found = [fleet.make_member("near"), fleet.make_member("far", "freising")]
    chooser = routing.InstanceChooser(fleet.make_table(found), seed=1)
    finish(chooser, "near", FULL)
    counted = count_choices(chooser)
    most = call_credits.MAX_CREDIT + routing.SPILL_RATIO * CHOICES
    assert 0 < counted["far"] <= most
    assert counted["near"] == CHOICES - counted["far"]


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("age_s", "expected"),
    [
        pytest.param(0.03, "near", id="in time"),
        pytest.param(0.3, "far", id="late"),
    ],
)
async def test_late_call_sends_the_next_one_elsewhere(
    age_s: float, expected: str
) -> None:
    found = [fleet.make_member("near"), fleet.make_member("far", "freising")]
    chooser = routing.InstanceChooser(fleet.make_table(found), seed=1)
    for _ in range(40):
        with chooser.track(calls_factory.make_call(), "near") as record:
            await asyncio.sleep(0.02)
            record.finish(outcomes.Completed(200, (), call_body.EMPTY))
    with chooser.track(calls_factory.make_call(), "near"):
        await asyncio.sleep(age_s)
        assert choose(chooser) == expected


@pytest.mark.looptime
async def test_hedge_goes_to_a_free_slot_only() -> None:
    found = [fleet.make_member("free"), fleet.make_member("full")]
    chooser = routing.InstanceChooser(fleet.make_table(found), seed=1)
    finish(chooser, "full", FULL)
    call = calls_factory.make_call()
    assert chooser.choose_hedge(call, {"free"}) is None
    hedged = chooser.choose_hedge(call, {"full"})
    assert hedged is not None
    assert hedged.instance == "free"


@pytest.mark.looptime
async def test_cold_instance_gets_more_as_it_warms_up() -> None:
    found = [fleet.make_member("warm")]
    table = fleet.make_table(found)
    chooser = routing.InstanceChooser(table, seed=1)
    await asyncio.sleep(1.0)
    choose(chooser)
    table.learn(fleet.make_member("cold", warm_up_ms=10_000))
    parts = []
    for _ in range(3):
        parts.append(count_choices(chooser)["cold"] / CHOICES)
        await asyncio.sleep(5.0)
    assert parts[0] < 0.2 < parts[1] < 0.42 < parts[2] < 0.6


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("count", "most"), [(1, 0), (2, 1), (3, 1), (4, 2), (9, 4)]
)
async def test_never_more_than_half_is_ejected(count: int, most: int) -> None:
    names = [f"instance-{index}" for index in range(count)]
    table = fleet.make_table([fleet.make_member(name) for name in names])
    chooser = routing.InstanceChooser(table, seed=1)
    choose(chooser)
    for name in names:
        for _ in range(20):
            finish(chooser, name, refusal=refusals.Unreachable(name))
    assert len(count_choices(chooser)) == count - most


@pytest.mark.looptime
async def test_ejected_instance_is_tested_and_returned() -> None:
    names = ["good-1", "good-2", "bad"]
    table = fleet.make_table([fleet.make_member(name) for name in names])
    link = fleet.FleetLink(lambda _: 10.0)
    sender = fleet.Sender(table, link)
    link.broken.add("bad")

    async def send(count: int) -> int:
        """Returns how many of the calls met the bad instance."""
        link.sent.clear()
        for _ in range(count):
            await sender.send(calls_factory.make_call())
        return link.sent.count("bad")

    await send(200)
    assert 1 <= await send(200) <= 20
    link.broken.clear()
    await send(400)
    assert await send(200) >= 30


@pytest.mark.looptime
async def test_refuses_early_by_report_until_it_is_old() -> None:
    table = fleet.make_table([fleet.make_member("full")])
    chooser = routing.InstanceChooser(table, seed=1)
    refusal = refusals.Overloaded(0, 35, 1000)
    finish(chooser, "full", REFUSING, refusal)
    counted = count_choices(chooser)
    trickle_ratio = counted["full"] / CHOICES
    assert counted["overloaded"] + counted["full"] == CHOICES
    assert 0.03 < trickle_ratio < 0.1
    await asyncio.sleep(instances.REPORT_LIFETIME_MS / 1000.0)
    assert choose(chooser) == "full"


@pytest.mark.looptime
async def test_instance_that_drains_gets_nothing_more() -> None:
    found = [fleet.make_member("stays"), fleet.make_member("leaves")]
    chooser = routing.InstanceChooser(fleet.make_table(found), seed=1)
    choose(chooser)
    finish(chooser, "leaves", refusal=refusals.Draining("leaves"))
    assert set(count_choices(chooser)) == {"stays"}


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("near_fails", "least_far", "most_far"),
    [
        pytest.param(0, 0.0, 0.05, id="sound"),
        pytest.param(2, 0.8, 1.0, id="fails every second call"),
        pytest.param(20, 0.0, 0.2, id="fails a few"),
    ],
)
async def test_calls_leave_an_instance_that_fails_part_of_them(
    near_fails: int, least_far: float, most_far: float
) -> None:
    found = [fleet.make_member("near"), fleet.make_member("far", "freising")]
    chooser = routing.InstanceChooser(
        fleet.make_table(found), 1, routing.RoutingSettings(spill_ratio=1.0)
    )
    sent: collections.Counter[str] = collections.Counter()
    for number in range(400):
        await asyncio.sleep(0.005)
        instance = choose(chooser)
        fails = instance == "near" and near_fails and number % near_fails == 0
        refusal = refusals.WorkerRefused(503, 200) if fails else None
        finish(chooser, instance, refusal=refusal)
        sent[instance] += number >= 100
    assert least_far <= sent["far"] / sum(sent.values()) <= most_far
