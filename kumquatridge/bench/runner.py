"""Runs a scenario in virtual time."""

import asyncio
import dataclasses
import enum
import pathlib
import time

from kumquatridge.bench import fault_injector
from kumquatridge.bench import fleets
from kumquatridge.bench import jobs
from kumquatridge.bench import load_generator
from kumquatridge.bench import measures
from kumquatridge.bench import naive
from kumquatridge.bench import network
from kumquatridge.bench import product
from kumquatridge.bench import records as bench_records
from kumquatridge.bench import scenario
from kumquatridge.bench import seeded_secrets
from kumquatridge.bench import virtual_time
from kumquatridge.encoding import settings_text
from kumquatridge.settings import policy as settings_policy

TREE_FILE = "tree.jsonc"


class Version(enum.Enum):
    """Fleet on which a scenario runs."""

    PRODUCT = "kumquatridge"
    NAIVE = "naive"


@dataclasses.dataclass(frozen=True, slots=True)
class RunResult:
    """Result of one run of a scenario.

    `measured` holds the figures of the scenario's bounds and of the invariants;
    `wall_s` is the real time that the run and its evaluation took.
    """

    script: scenario.Scenario
    version: Version
    seed: int
    measured: tuple[measures.Measurement, ...]
    records: bench_records.Records
    wall_s: float

    @property
    def holds(self) -> bool:
        """Whether all bounds and invariants hold."""
        return all(measurement.holds for measurement in self.measured)


def run_scenario(
    script: scenario.Scenario,
    examples: pathlib.Path,
    version: Version,
    seed: int,
) -> RunResult:
    """Runs a scenario to its end; evaluates its bounds and the invariants."""
    file = examples / script.deployment.name / TREE_FILE
    policies = settings_text.read_tree(file).compile()
    started_s = time.monotonic()
    with (
        seeded_secrets.seed_secrets(str(seed)),
        asyncio.Runner(loop_factory=virtual_time.make_loop) as runner,
    ):
        records = runner.run(_run(script, policies, version, str(seed)))
    return RunResult(
        script,
        version,
        seed,
        measures.RunMeasures(script, records).measure_all(),
        records,
        time.monotonic() - started_s,
    )


async def _run(
    script: scenario.Scenario,
    policies: settings_policy.PolicyLookup,
    version: Version,
    seed: str,
) -> bench_records.Records:
    environment = fleets.Environment(
        script.deployment,
        network.FakeNetwork(script.deployment, seed),
        policies,
        jobs.JobRegistry(),
        bench_records.Records(),
        seed,
    )
    fleet = _make_fleet(version, environment)
    async with fleet, asyncio.TaskGroup() as group:
        group.create_task(
            fault_injector.FaultInjector(script, fleet, seed).run()
        )
        group.create_task(
            load_generator.LoadGenerator(script, fleet, environment).run()
        )
    return environment.records


def _make_fleet(
    version: Version, environment: fleets.Environment
) -> fleets.Fleet:
    match version:
        case Version.PRODUCT:
            return product.ProductFleet(environment)
        case Version.NAIVE:
            return naive.NaiveFleet(environment)
