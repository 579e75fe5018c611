"""Scenarios: deployment, demand, faults and bounds.

Times are milliseconds of virtual time since the start of the run.
"""

from collections.abc import Iterator
import dataclasses
import itertools

from kumquatridge.bench import bounds
from kumquatridge.bench import demands as bench_demands
from kumquatridge.bench import deployments
from kumquatridge.bench import fault_types


@dataclasses.dataclass(frozen=True, slots=True)
class SlotScale:
    """Factor by which a scenario scales the slots of its deployment."""

    ratio: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A decoded scenario file."""

    name: str
    title: str
    deployment: deployments.Deployment
    duration_ms: float
    demands: tuple[bench_demands.Demand, ...]
    callers: bench_demands.CallerBehaviour
    faults: tuple[fault_types.Fault, ...]
    bounds: tuple[bounds.Bound, ...]


def find_problem(script: Scenario) -> str | None:
    """Returns a message about the first name that the deployment lacks.

    None if all services, workers, chains and data centres exist.
    """
    return next(
        itertools.chain(
            _iter_chain_problems(script.deployment),
            _iter_demand_problems(script),
            _iter_fault_problems(script),
        ),
        None,
    )


def _iter_chain_problems(deployment: deployments.Deployment) -> Iterator[str]:
    services = {service.name for service in deployment.services}
    for chain in deployment.chains:
        for step in deployments.iter_steps(chain.root):
            if step.service not in services:
                yield (
                    f"chain {chain.name}: the deployment has no service "
                    f"{step.service!r}"
                )


def _iter_demand_problems(script: Scenario) -> Iterator[str]:
    chains = {chain.name for chain in script.deployment.chains}
    for demand in script.demands:
        for share in demand.mix:
            if share.chain not in chains:
                yield (f"demand: the deployment has no chain {share.chain!r}")


def _iter_fault_problems(script: Scenario) -> Iterator[str]:
    workers = {
        service.name: service.workers for service in script.deployment.services
    }
    centres = set(script.deployment.data_centres)
    for fault in script.faults:
        match fault.trouble:
            case (
                fault_types.SlowWorkers(service=name)
                | fault_types.StallWorker(service=name)
                | fault_types.CrashWorker(service=name)
                | fault_types.RestartDaemon(service=name)
                | fault_types.PauseDaemon(service=name)
            ) if name not in workers:
                yield f"fault: the deployment has no service {name!r}"
            case (
                fault_types.StallWorker(name, number)
                | fault_types.CrashWorker(name, number)
                | fault_types.RestartDaemon(name, number)
                | fault_types.PauseDaemon(name, number)
            ) if not 1 <= number <= workers[name]:
                yield (
                    f"fault: there is no worker {number} of {name}: "
                    f"{name} has {workers[name]} workers"
                )
            case fault_types.CutOffDataCentre(
                name
            ) | fault_types.RestartDataCentre(name) if name not in centres:
                yield f"fault: the deployment has no data centre {name!r}"
            case _:
                pass
