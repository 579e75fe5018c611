"""Deployments: services, chains of calls and network delays."""

from collections.abc import Iterator
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service and its workers.

    `service_ms` is the time that a call takes without its children.
    """

    name: str
    workers: int
    slots: int
    service_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A call to a service and its child calls.

    `work_ratio` multiplies the service time; with `is_parallel` the children
    run in parallel.
    """

    method: str
    service: str
    path: str
    work_ratio: float
    children: "tuple[Step, ...]"
    is_parallel: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """A whole request; a poison one crashes each worker that runs its root."""

    name: str
    root: Step
    is_poison: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The services of an example and the network delays between them.

    Delays are one way. `slot_scale_ratio` is the share of the real slots
    that is simulated.
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
    """Returns the deployment with a share of its slots, at least one each."""
    return dataclasses.replace(
        deployment,
        slot_scale_ratio=deployment.slot_scale_ratio * ratio,
        services=tuple(
            dataclasses.replace(one, slots=max(1, round(one.slots * ratio)))
            for one in deployment.services
        ),
    )


def iter_steps(step: Step) -> Iterator[Step]:
    """Iterates over a step and all its descendants, depth first."""
    yield step
    for child in step.children:
        yield from iter_steps(child)
