"""What a scenario says: deployment, demand, faults and bounds.

Times are milliseconds of virtual time since the start of the run.
"""

from collections.abc import Iterator
import dataclasses
import itertools

from kumquatridge.bench import bounds
from kumquatridge.bench import demands as bench_demands
from kumquatridge.bench import deployments
from kumquatridge.bench import troubles


@dataclasses.dataclass(frozen=True, slots=True)
class Scaled:
    """A scenario's own factor on the slots of its deployment."""

    ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """One file: a run with its bounds."""

    name: str
    title: str
    deployment: deployments.Deployment
    duration_ms: float
    demands: tuple[bench_demands.Demand, ...]
    callers: bench_demands.Callers
    faults: tuple[troubles.Fault, ...]
    bounds: tuple[bounds.Bound, ...]


def find_problem(script: Scenario) -> str | None:
    """Returns what a scenario names that its deployment does not have."""
    return next(
        itertools.chain(
            _iter_chain_problems(script.deployment),
            _iter_demand_problems(script),
            _iter_fault_problems(script),
        ),
        None,
    )


def _iter_chain_problems(deployment: deployments.Deployment) -> Iterator[str]:
    services = {one.name for one in deployment.services}
    for chain in deployment.chains:
        for step in deployments.iter_steps(chain.root):
            if step.service not in services:
                yield f"chain {chain.name}: no service {step.service!r}"


def _iter_demand_problems(script: Scenario) -> Iterator[str]:
    chains = {one.name for one in script.deployment.chains}
    for demand in script.demands:
        for share in demand.mix:
            if share.chain not in chains:
                yield f"demand: no chain {share.chain!r}"


def _iter_fault_problems(script: Scenario) -> Iterator[str]:
    workers = {one.name: one.workers for one in script.deployment.services}
    centres = set(script.deployment.data_centres)
    for fault in script.faults:
        match fault.trouble:
            case (
                troubles.Slow(service=name)
                | troubles.Stall(service=name)
                | troubles.CrashWorker(service=name)
                | troubles.RestartDaemon(service=name)
                | troubles.PauseDaemon(service=name)
            ) if name not in workers:
                yield f"fault: no service {name!r}"
            case (
                troubles.Stall(name, number)
                | troubles.CrashWorker(name, number)
                | troubles.RestartDaemon(name, number)
                | troubles.PauseDaemon(name, number)
            ) if not 1 <= number <= workers[name]:
                yield f"fault: {name} has {workers[name]} workers"
            case troubles.Cut(name) | troubles.RestartDataCentre(name) if (
                name not in centres
            ):
                yield f"fault: no data centre {name!r}"
            case _:
                pass
