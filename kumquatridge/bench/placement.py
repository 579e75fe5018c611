"""Where the workers of a deployment stand."""

from collections.abc import Iterator
import dataclasses

from kumquatridge.bench import deployments


@dataclasses.dataclass(frozen=True, slots=True)
class Place:
    """The name and the data centre of one worker of a service."""

    name: str
    data_centre: str
    service: deployments.Service


def iter_places(deployment: deployments.Deployment) -> Iterator[Place]:
    """Spreads the workers of each service over the data centres."""
    centres = deployment.data_centres
    position = 0
    for service in deployment.services:
        for number in range(1, service.workers + 1):
            centre = centres[position % len(centres)]
            yield Place(f"{service.name}-{number}", centre, service)
            position += 1
