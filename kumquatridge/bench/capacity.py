"""Request rate that a deployment sustains for a mix of call chains.

Each worker runs at most `slots` calls at once. A call holds its slot until its
child calls are answered.
"""

from collections.abc import Mapping

from kumquatridge.bench import demands
from kumquatridge.bench import deployments
from kumquatridge.bench import network

# Time in ms for which a call chain holds slots, keyed by service.
SlotTimes = Mapping[str, float]


def get_slot_time_ms(
    step: deployments.Step, deployment: deployments.Deployment
) -> float:
    """Returns for how long a call holds its slot when there are no faults.

    Each child call adds a round trip within a data centre.
    """
    own_ms = step.work_ratio * _get_service(deployment, step).service_ms
    children_ms = [
        get_slot_time_ms(child, deployment) + 2 * network.LOCAL_DELAY_MS
        for child in step.children
    ]
    if step.is_parallel:
        return own_ms + max(children_ms)
    return own_ms + sum(children_ms)


def get_slot_times(
    chain: deployments.Chain, deployment: deployments.Deployment
) -> SlotTimes:
    """Returns for how long a chain holds slots of each service, in ms."""
    times: dict[str, float] = {}
    for step in deployments.iter_steps(chain.root):
        held_ms = get_slot_time_ms(step, deployment)
        times[step.service] = times.get(step.service, 0.0) + held_ms
    return times


def get_slots(deployment: deployments.Deployment) -> Mapping[str, int]:
    """Returns the number of slots of each service, over all its workers."""
    return {
        service.name: service.workers * service.slots
        for service in deployment.services
    }


def get_capacity_per_s(
    deployment: deployments.Deployment, mix: tuple[demands.Share, ...]
) -> float:
    """Returns the highest request rate that every service's slots sustain."""
    chains = {chain.name: chain for chain in deployment.chains}
    total = sum(share.weight for share in mix)
    # Slot time in seconds that an average request takes, keyed by service.
    load: dict[str, float] = {}
    for share in mix:
        fraction = share.weight / total
        times = get_slot_times(chains[share.chain], deployment)
        for service, held_ms in times.items():
            load[service] = load.get(service, 0.0) + fraction * held_ms / 1000.0
    slots = get_slots(deployment)
    return min(slots[name] / held_s for name, held_s in load.items())


def _get_service(
    deployment: deployments.Deployment, step: deployments.Step
) -> deployments.Service:
    return next(
        service
        for service in deployment.services
        if service.name == step.service
    )
