"""Runs a random simulation of idempotency keys and counts violations.

python -m kumquatridge.benchmarks.at_most_once --steps 200000 --seed 1

A violation is a second run of a call with the same key, or a wrong answer to
its caller. With --naive every daemon runs each call that it receives: this
verifies that the faults cause violations without the at-most-once decisions.
"""

import asyncio
import dataclasses
import sys

import click
import looptime

from kumquatridge import clock
from kumquatridge.benchmarks import key_calls
from kumquatridge.benchmarks import key_simulation

INSTANCES = 4
STEP_S = 0.01
# In the order of the cases in Driver.step.
STEP_WEIGHTS = (300, 500, 100, 60, 6, 1, 10, 3, 20, 60)
MAX_RESENDABLE_KEYS = 40
HEAL_RATIO = 0.5
RETIRE_RATIO = 0.2
ISSUED_RATIO = 0.3
SENDS_AGE_RATIO = 0.5
SETTLE_S = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class SentKey:
    """An idempotency key that a caller has sent and may send again.

    `is_issued` says that a daemon issued the key; otherwise the caller made it
    up. With `sends_age` each call states the age of the key.
    """

    text: str
    created_ms: float
    is_issued: bool
    sends_age: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Counts and violations of a simulation run."""

    steps: int
    keys: int
    ran: int
    outcomes: dict[str, int]
    reasons: dict[str, int]
    violations: tuple[str, ...]


class Driver:
    """Takes random steps in a simulation, using its random generator."""

    def __init__(self, simulation: key_simulation.KeySimulation) -> None:
        self.simulation = simulation
        self.sent: list[SentKey] = []
        self.created_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, steps: int) -> None:
        """Takes random steps, repairs all faults and waits for the answers."""
        for name in self.simulation.names:
            self.simulation.start(name)
        for _ in range(steps):
            await self.step()
            await asyncio.sleep(self.simulation.random.random() * STEP_S)
        self.simulation.heal()
        await asyncio.sleep(SETTLE_S)
        await self.simulation.close()

    async def step(self) -> None:
        """Takes a weighted random step: call, exchange of updates or fault."""
        simulation = self.simulation
        one = simulation.random.choice(simulation.names)
        other = simulation.random.choice(simulation.names)
        match simulation.random.choices(range(len(STEP_WEIGHTS)), STEP_WEIGHTS)[
            0
        ]:
            case 0:
                self.send_new(one)
            case 1:
                self.resend(one)
            case 2:
                await simulation.exchange(one, other)
            case 3:
                simulation.add_member(one, other)
            case 4:
                await simulation.stop(one, is_planned=True)
            case 5:
                await simulation.stop(one, is_planned=False)
            case 6:
                simulation.pause_or_resume(one)
            case 7:
                simulation.toggle_link(one, other)
            case 8:
                self.repair(one)
            case _:
                await simulation.connect_all()

    def repair(self, name: str) -> None:
        """Repairs links or retires an instance; starts missing processes."""
        simulation = self.simulation
        if simulation.random.random() < HEAL_RATIO:
            simulation.heal()
        elif simulation.random.random() < RETIRE_RATIO:
            simulation.retire(name)
        for missing in simulation.names:
            simulation.start(missing)

    def send_new(self, name: str) -> None:
        """Creates a key and sends its first call."""
        simulation = self.simulation
        process = simulation.processes.get(name)
        if process is None:
            return
        self.created_count += 1
        is_issued = simulation.random.random() < ISSUED_RATIO
        text = (
            process.issuer.issue() if is_issued else f"key-{self.created_count}"
        )
        sends_age = simulation.random.random() < SENDS_AGE_RATIO
        sent = SentKey(text, clock.get_now_ms(), is_issued, sends_age)
        self.sent.append(sent)
        if len(self.sent) > MAX_RESENDABLE_KEYS:
            self.sent.pop(0)
        self._start_call(name, sent)

    def resend(self, name: str) -> None:
        """Sends a call with an earlier key again, to the given daemon."""
        if not self.sent:
            return
        sent = self.simulation.random.choice(self.sent)
        age_ms = clock.get_now_ms() - sent.created_ms
        max_age_ms = key_calls.SETTINGS.bare_key_max_age_ms
        if sent.is_issued or age_ms < max_age_ms:
            self._start_call(name, sent)

    def _start_call(self, name: str, sent: SentKey) -> None:
        # Rounded up: the home must not take the key to be younger than it is.
        age_ms = int(clock.get_now_ms() - sent.created_ms) + 1
        sent_age_ms = age_ms if sent.sends_age else None
        task = asyncio.create_task(
            self.simulation.send_call(name, sent.text, sent_age_ms)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def run(steps: int, seed: int, *, is_naive: bool = False) -> Report:
    """Runs a simulation in virtual time."""
    loop: asyncio.AbstractEventLoop = looptime.new_event_loop(start=0.0)
    try:
        return loop.run_until_complete(_run(steps, seed, is_naive))
    finally:
        loop.close()


async def _run(steps: int, seed: int, is_naive: bool) -> Report:
    simulation = key_simulation.KeySimulation(
        seed, INSTANCES, is_naive=is_naive
    )
    driver = Driver(simulation)
    await driver.run(steps)
    return Report(
        steps,
        driver.created_count,
        len(simulation.runs),
        simulation.outcomes,
        simulation.recorder.reasons,
        tuple(simulation.violations),
    )


@click.command()
@click.option("--steps", default=200_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--naive", is_flag=True, help="Run without the decisions.")
def main(steps: int, seed: int, naive: bool) -> None:
    """Runs STEPS random steps; exits with 1 if there were violations."""
    report = run(steps, seed, is_naive=naive)
    click.echo(f"steps {report.steps}, keys {report.keys}, ran {report.ran}")
    click.echo(f"outcomes {report.outcomes}")
    click.echo(f"refusals {report.reasons}")
    click.echo(f"violations {len(report.violations)}")
    for violation in report.violations[:10]:
        click.echo(violation)
    sys.exit(1 if report.violations else 0)


if __name__ == "__main__":
    main()
