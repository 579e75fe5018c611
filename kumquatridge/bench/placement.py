"""Placement of a deployment's workers in data centres."""

from collections.abc import Iterator
import dataclasses

from kumquatridge.bench import deployments


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerPlacement:
    """Name, data centre and service of one worker."""

    name: str
    data_centre: str
    service: deployments.Service


def iter_placements(
    deployment: deployments.Deployment,
) -> Iterator[WorkerPlacement]:
    """Distributes the workers over the data centres, round robin."""
    centres = deployment.data_centres
    position = 0
    for service in deployment.services:
        for number in range(1, service.workers + 1):
            centre = centres[position % len(centres)]
            yield WorkerPlacement(f"{service.name}-{number}", centre, service)
            position += 1
