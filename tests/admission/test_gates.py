"""Roots at the door of a chain whose narrow service lies at its end.

The load is replayed in steps of a millisecond: roots arrive, each makes its
calls at the narrow service one after the other, and is lost with the first
that waits for longer than it may.
"""

import asyncio
import collections
import dataclasses
import random

import pytest

from kumquatridge import clock
from kumquatridge.admission import gates
from kumquatridge.calls import call as calls
from kumquatridge.calls import importance as call_importance
from tests import calls_factory

Importance = call_importance.Importance
SLOTS = 30
WORK_MS = 30
CAPACITY_PER_MS = SLOTS / WORK_MS
LEAD_MS = 150
LONGEST_WAIT_MS = 150
CALLS = 4
ROUTE = "lookup"


@dataclasses.dataclass(frozen=True)
class Phase:
    """Roots at a multiple of the capacity for a time."""

    load: float
    for_ms: int


@dataclasses.dataclass(frozen=True)
class Root:
    """A root on its way; `left` are the calls that it still has to make."""

    number: int
    importance: Importance
    left: int = CALLS
    waits_since_ms: int = 0


def make_call(
    root: Root, depth: int, service: str = "front", route: str = ROUTE
) -> calls.Call:
    """Returns a call of a root as the gates see it."""
    made = calls_factory.make_call(
        importance=root.importance, depth=depth, root_id=f"r{root.number}"
    )
    return dataclasses.replace(
        made,
        service=service,
        policy=dataclasses.replace(made.policy, service=service, route=route),
        chain=dataclasses.replace(made.chain, root_route=ROUTE),
    )


class Narrow:
    """The narrow service, its gate and the daemons' table."""

    def __init__(self, is_gated: bool) -> None:
        self.settings = gates.GateSettings()
        self.control = gates.GateController(self.settings)
        self.gate_table = gates.GateTable(self.settings)
        self.is_gated = is_gated
        self.queue: collections.deque[Root] = collections.deque()
        self.busy: list[tuple[int, Root]] = []
        self.coming: collections.deque[tuple[int, Root]] = collections.deque()
        self.asked: collections.Counter[tuple[int, Importance]] = (
            collections.Counter()
        )
        self.served: collections.Counter[tuple[int, Importance]] = (
            collections.Counter()
        )
        self.lost = 0

    def arrive(self, root: Root, now_ms: int) -> None:
        """Lets a root come to the door."""
        second = now_ms // 1000
        self.asked[second, root.importance] += 1
        call = make_call(root, depth=0)
        closed = self.gate_table.find_refusal(call, lambda _: 1)
        if closed is None or not self.is_gated:
            self.coming.append((now_ms + LEAD_MS, root))

    def step(self, now_ms: int) -> None:
        """Lets a millisecond pass."""
        while self.coming and self.coming[0][0] <= now_ms:
            self._ask(self.coming.popleft()[1], now_ms)
        self._finish(now_ms)
        while self.queue and len(self.busy) < SLOTS:
            self.busy.append((now_ms + WORK_MS, self.queue.popleft()))
        while self.queue and (
            now_ms - self.queue[0].waits_since_ms > LONGEST_WAIT_MS
        ):
            self.queue.popleft()
            self.lost += 1
        present = gates.WorkerLoad(len(self.busy), len(self.queue), SLOTS)
        self.control.update(present, now_ms)
        if self.control.downstream_level > gates.ADMIT_ALL_LEVEL:
            level, told_ms = self.control.level, clock.get_now_ms()
            self.gate_table.merge(
                gates.Gate(
                    "narrow",
                    "n",
                    level,
                    self.control.downstream_level,
                    frozenset((ROUTE,)),
                    told_ms,
                )
            )

    def _ask(self, root: Root, now_ms: int) -> None:
        call = make_call(root, depth=3)
        self.control.record_arrival(call, now_ms)
        self.queue.append(dataclasses.replace(root, waits_since_ms=now_ms))

    def _finish(self, now_ms: int) -> None:
        done = [root for ends_ms, root in self.busy if ends_ms <= now_ms]
        self.busy = [one for one in self.busy if one[0] > now_ms]
        for root in done:
            self.control.record_completion()
            if root.left > 1:
                after = dataclasses.replace(root, left=root.left - 1)
                self._ask(after, now_ms)
            else:
                self.served[now_ms // 1000, root.importance] += 1


def replay(phases: tuple[Phase, ...], is_gated: bool = True) -> Narrow:
    """Replays roots, a third of them critical, the rest of low importance."""
    source = random.Random(1)
    narrow = Narrow(is_gated)
    now_ms, number = 0, 0
    for phase in phases:
        rate = phase.load * CAPACITY_PER_MS / CALLS
        for _ in range(phase.for_ms):
            for _ in range(int(rate + source.random())):
                number += 1
                importance = (
                    Importance.SHEDDABLE if number % 3 else Importance.CRITICAL
                )
                narrow.arrive(Root(number, importance), now_ms)
            narrow.step(now_ms)
            now_ms += 1
    return narrow


def get_goodput(narrow: Narrow, first_s: int, last_s: int) -> float:
    """Returns whole roots served against the capacity for them."""
    served = sum(
        count
        for (second, _), count in narrow.served.items()
        if first_s <= second < last_s
    )
    return served * CALLS / (CAPACITY_PER_MS * 1000 * (last_s - first_s))


@pytest.mark.parametrize("load_ratio", [1.3, 1.6, 2.5])
async def test_burst_serves_whole_roots(load_ratio: float) -> None:
    phases = (Phase(0.5, 1000), Phase(load_ratio, 8000))
    gated = replay(phases)
    open_to_all = replay(phases, is_gated=False)
    assert get_goodput(gated, 2, 9) >= 0.9
    assert get_goodput(gated, 2, 9) > get_goodput(open_to_all, 2, 9)
    assert gated.lost < open_to_all.lost / 4


async def test_burst_turns_the_least_important_away() -> None:
    narrow = replay((Phase(0.5, 1000), Phase(2.0, 8000)))
    shares = {
        importance: sum(narrow.served[s, importance] for s in range(3, 8))
        / sum(narrow.asked[s, importance] for s in range(3, 8))
        for importance in (Importance.CRITICAL, Importance.SHEDDABLE)
    }
    assert shares[Importance.CRITICAL] >= 0.95
    assert shares[Importance.SHEDDABLE] <= 0.6


async def test_calm_returns_soon_after_a_burst() -> None:
    narrow = replay((Phase(2.0, 5000), Phase(0.7, 6000)))
    after = range(7, 10)
    asked = sum(narrow.asked[s, one] for s in after for one in Importance)
    served = sum(narrow.served[s, one] for s in after for one in Importance)
    assert served >= 0.95 * asked


async def test_nobody_is_turned_away_below_capacity() -> None:
    narrow = replay((Phase(0.85, 6000),))
    assert sum(narrow.served.values()) >= 0.95 * sum(narrow.asked.values())


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("depth", "service", "route", "is_closed"),
    [
        pytest.param(0, "other", ROUTE, True, id="leads there"),
        pytest.param(0, "narrow", "mine", True, id="goes there itself"),
        pytest.param(0, "other", "mine", False, id="leads elsewhere"),
        pytest.param(2, "narrow", ROUTE, False, id="belongs to an admitted"),
    ],
)
async def test_gate_concerns_roots_that_lead_to_it(
    depth: int, service: str, route: str, is_closed: bool
) -> None:
    gate_table = gates.GateTable(gates.GateSettings())
    level = float(Importance.NORMAL)
    now_ms = clock.get_now_ms()
    gate_table.merge(
        gates.Gate("narrow", "n", level, level, frozenset((ROUTE,)), now_ms)
    )
    call = make_call(
        Root(1, Importance.SHEDDABLE), depth=depth, service=service, route=route
    )
    found = gate_table.find_refusal(call, lambda _: 1)
    assert (found.service if found else None) == (
        "narrow" if is_closed else None
    )
    await asyncio.sleep(5.0)
    assert gate_table.find_refusal(call, lambda _: 1) is None


async def test_a_queue_without_room_closes_only_what_there_is() -> None:
    control = gates.GateController(gates.GateSettings())
    for interval in range(1, 20):
        now_ms = interval * 100.0
        call = make_call(Root(1, Importance.NORMAL), depth=0)
        control.record_arrival(call, now_ms)
        control.record_completion()
        control.update(gates.WorkerLoad(1, 50, 1), now_ms)
    assert Importance.NORMAL < control.level <= Importance.CRITICAL


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("refusing", "instances", "is_closed"),
    [
        pytest.param(("a", "b"), 2, True, id="all refuse"),
        pytest.param(("a",), 2, False, id="one of two refuses"),
        pytest.param((), 2, False, id="none refuses"),
    ],
)
async def test_roots_are_kept_from_workers_that_all_refuse(
    refusing: tuple[str, ...], instances: int, is_closed: bool
) -> None:
    control = gates.GateController(gates.GateSettings())
    for interval in range(1, 20):
        for number in range(10):
            if number % 2:
                control.record_worker_refusal()
            else:
                control.record_completion()
        control.update(gates.WorkerLoad(1, 0, 8), interval * 100.0)
    gate_table = gates.GateTable(gates.GateSettings())
    for instance in refusing:
        gate_table.merge(
            gates.Gate(
                "narrow",
                instance,
                control.level,
                control.downstream_level,
                frozenset((ROUTE,)),
                clock.get_now_ms(),
            )
        )
    closed = [
        gate_table.find_refusal(
            make_call(Root(number, Importance.CRITICAL), depth=0),
            lambda _: instances,
        )
        is not None
        for number in range(300)
    ]
    direct = make_call(Root(1, Importance.NORMAL), depth=0, service="narrow")
    assert gate_table.find_refusal(direct, lambda _: instances) is None
    assert (0.8 <= sum(closed) / len(closed) < 1.0) is is_closed
    for interval in range(20, 40):
        for _ in range(5):
            control.record_completion()
        control.update(gates.WorkerLoad(1, 0, 8), interval * 100.0)
    assert control.downstream_level == gates.ADMIT_ALL_LEVEL
