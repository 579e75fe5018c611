"""What a scenario runs on: services, chains of calls, distances."""

from collections.abc import Iterator
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A service's workers; `service_ms` is the work of one call alone."""

    name: str
    workers: int
    slots: int
    service_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A call to a service and the calls that it makes in turn.

    `work_ratio` multiplies the service's own time; `is_parallel` makes the
    children run at the same time.
    """

    method: str
    service: str
    path: str
    work_ratio: float
    children: "tuple[Step, ...]"
    is_parallel: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Chain:
    """A whole request; a poisonous one crashes the first worker it meets."""

    name: str
    root: Step
    is_poison: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The services of one of the examples and the distances between them.

    Delays are one way. `slot_scale_ratio` is the part of the real slots
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
    """Returns the deployment with a scenario's own chains beside its own."""
    return dataclasses.replace(deployment, chains=deployment.chains + chains)


def scale_slots(deployment: Deployment, ratio: float) -> Deployment:
    """Returns the deployment with a part of its slots, at least one each."""
    return dataclasses.replace(
        deployment,
        slot_scale_ratio=deployment.slot_scale_ratio * ratio,
        services=tuple(
            dataclasses.replace(one, slots=max(1, round(one.slots * ratio)))
            for one in deployment.services
        ),
    )


def iter_steps(step: Step) -> Iterator[Step]:
    """Iterates over a step and all that it leads to."""
    yield step
    for child in step.children:
        yield from iter_steps(child)
