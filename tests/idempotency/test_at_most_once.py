"""No key runs twice and no refusal lies, whatever fails."""

import asyncio
from collections.abc import Callable, Coroutine

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import looptime
import pytest

from kumquatridge.benchmarks import at_most_once
from kumquatridge.benchmarks import key_calls
from kumquatridge.benchmarks import key_world

STEPS = 3000
INSTANCES = 3

places = strategies.integers(0, INSTANCES - 1)
times_s = strategies.sampled_from((0.0, 0.02, 0.3, 3.0))


class KeyMachine(stateful.RuleBasedStateMachine):
    """Callers, faults and membership in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.loop: asyncio.AbstractEventLoop = looptime.new_event_loop(
            start=0.0
        )
        self.world = key_world.World(seed=0, instances=INSTANCES)
        self.driver = at_most_once.Driver(self.world)
        self.run(self.start_all())

    def run(self, work: Coroutine[None, None, None]) -> None:
        """Runs work in virtual time."""
        self.loop.run_until_complete(work)

    async def start_all(self) -> None:
        """Starts every process and lets all know each other."""
        for name in self.world.names:
            self.world.start(name)
        await self.world.gather()

    @stateful.rule(place=places, wait_s=times_s)
    def send_new(self, place: int, wait_s: float) -> None:
        """Sends a new key."""
        self.take(self._send_new(place, wait_s))

    async def _send_new(self, place: int, wait_s: float) -> None:
        self.driver.send_new(self.world.names[place])
        await asyncio.sleep(wait_s)

    @stateful.rule(place=places, wait_s=times_s)
    def resend(self, place: int, wait_s: float) -> None:
        """Sends an older key again."""
        self.take(self._resend(place, wait_s))

    async def _resend(self, place: int, wait_s: float) -> None:
        self.driver.resend(self.world.names[place])
        await asyncio.sleep(wait_s)

    @stateful.rule(place=places, says_so=strategies.booleans())
    def restart(self, place: int, says_so: bool) -> None:
        """Ends a process and starts another in its place."""
        self.take(self._restart(self.world.names[place], says_so))

    async def _restart(self, name: str, says_so: bool) -> None:
        await self.world.stop(name, says_so=says_so)
        self.world.start(name)

    @stateful.rule(place=places)
    def pause_or_resume(self, place: int) -> None:
        """Pauses a process or lets it go on."""
        self.take(self._call(self.world.pause, self.world.names[place]))

    @stateful.rule(one=places, other=places)
    def cut_or_mend(self, one: int, other: int) -> None:
        """Cuts a link or mends it."""
        names = self.world.names
        self.take(self._call(self.world.cut, names[one], names[other]))

    @stateful.rule(one=places, other=places)
    def tell(self, one: int, other: int) -> None:
        """Exchanges updates of the roster."""
        names = self.world.names
        self.take(self._tell(names[one], names[other]))

    async def _tell(self, one: str, other: str) -> None:
        self.world.meet(one, other)
        await self.world.exchange(one, other)

    async def _call(self, action: Callable[..., None], *names: str) -> None:
        action(*names)

    def take(self, work: Coroutine[None, None, None]) -> None:
        """Takes a step and checks every promise."""
        self.run(work)
        assert self.world.violations == []

    def teardown(self) -> None:
        """Lets every caller be answered and checks once more."""
        self.run(self._finish())
        assert self.world.violations == []
        self.loop.close()

    async def _finish(self) -> None:
        self.world.heal()
        await asyncio.sleep(at_most_once.SETTLE_S)
        await self.world.close()


TestKeys = KeyMachine.TestCase
TestKeys.settings = hypothesis.settings(
    max_examples=40,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
)


@pytest.mark.parametrize("seed", [1, 2])
def test_differs_from_the_naive_version(seed: int) -> None:
    decided = at_most_once.run(STEPS, seed)
    naive = at_most_once.run(STEPS, seed, is_naive=True)
    assert decided.violations == ()
    assert decided.ran > 0
    assert naive.violations != ()


async def _book_in_calm(says_age: bool) -> key_world.World:
    world = key_world.World(seed=1, instances=INSTANCES)
    world.loss_ratio = world.refusal_ratio = 0.0
    for name in world.names:
        world.start(name)
    await world.gather()
    wait_ms = key_calls.SETTINGS.transit_ms + key_world.MAX_DELAY_S * 1000
    if not says_age:
        wait_ms += key_calls.SETTINGS.bare_key_max_age_ms
    await asyncio.sleep(wait_ms / 1000)
    for number in range(50):
        name = world.names[number % INSTANCES]
        await world.contact(name, f"key-{number}", 0 if says_age else None)
    await world.close()
    return world


@pytest.mark.parametrize("says_age", [False, True])
def test_every_bare_key_runs_in_calm(says_age: bool) -> None:
    loop: asyncio.AbstractEventLoop = looptime.new_event_loop(start=0.0)
    world = loop.run_until_complete(_book_in_calm(says_age))
    loop.close()
    assert world.outcomes == {"Completed": 50}
    assert len(world.runs) == 50


async def _restart_in_calm(says_so: bool) -> key_world.World:
    world = key_world.World(seed=1, instances=INSTANCES)
    world.loss_ratio = world.refusal_ratio = 0.0
    for name in world.names:
        world.start(name)
    await world.gather()
    await asyncio.sleep(2 * key_calls.SETTINGS.bare_key_max_age_ms / 1000)
    await world.stop(world.names[0], says_so=says_so)
    world.start(world.names[0])
    await world.gather()
    await world.gather()
    for number in range(50):
        name = world.names[number % INSTANCES]
        await world.contact(name, f"key-{number}", None)
    await world.close()
    return world


@pytest.mark.parametrize("says_so", [True, False])
def test_planned_restart_costs_no_key(says_so: bool) -> None:
    loop: asyncio.AbstractEventLoop = looptime.new_event_loop(start=0.0)
    world = loop.run_until_complete(_restart_in_calm(says_so))
    loop.close()
    assert world.violations == []
    unknown = world.outcomes.get("Unknown", 0)
    assert unknown == 0 if says_so else 0 < unknown < 50
