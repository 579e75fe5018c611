"""Deployments: services, call chains and network delays."""

from collections.abc import Iterator
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and its workers.

    `workers` is their number; each of them runs at most `slots` calls at once.
    `service_ms` is the time that a call takes without its child calls.
    """

    name: str
    workers: int
    slots: int
    service_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A call to a service and its child calls.

    `work_ratio` multiplies the service time. The child calls are sequential
    unless `is_parallel` is set.
    """

    method: str
    service: str
    path: str
    work_ratio: float
    children: "tuple[Step, ...]"
    is_parallel: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """A call chain: the root call of a request and all its child calls.

    The root call of a poison chain crashes each worker that runs it.
    """

    name: str
    root: Step
    is_poison: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The services of an example and the network delays between them.

    Delays are one way: `delay_ms` between data centres, `caller_delay_ms`
    between callers and instances. `slot_scale_ratio` is the ratio of the
    simulated slots to the real ones.
    """

    name: str
    data_centres: tuple[str, ...]
    delay_ms: float
    caller_delay_ms: float
    slot_scale_ratio: float
    services: tuple[Service, ...]
    chains: tuple[Chain, ...]


def add_chains(deployment: Deployment, chains: tuple[Chain, ...]) -> Deployment:
    """Returns the deployment extended by the chains of a scenario."""
    return dataclasses.replace(deployment, chains=deployment.chains + chains)


def scale_slots(deployment: Deployment, ratio: float) -> Deployment:
    """Returns the deployment with scaled slots, at least one per worker."""
    return dataclasses.replace(
        deployment,
        slot_scale_ratio=deployment.slot_scale_ratio * ratio,
        services=tuple(
            dataclasses.replace(
                service, slots=max(1, round(service.slots * ratio))
            )
            for service in deployment.services
        ),
    )


def iter_steps(step: Step) -> Iterator[Step]:
    """Iterates over a step and all its descendants, depth first."""
    yield step
    for child in step.children:
        yield from iter_steps(child)
