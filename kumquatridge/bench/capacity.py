"""Capacity of a deployment's slots for a mix of chains."""

from collections.abc import Mapping

from kumquatridge.bench import demands
from kumquatridge.bench import deployments
from kumquatridge.bench import network

SlotTimes = Mapping[str, float]


def get_slot_time_ms(
    step: deployments.Step, deployment: deployments.Deployment
) -> float:
    """Returns for how long a step holds its slot when there are no faults.

    Each child adds a round trip within a data centre.
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
    """Returns the slot time, in ms, that a chain uses at each service."""
    times: dict[str, float] = {}
    for step in deployments.iter_steps(chain.root):
        held_ms = get_slot_time_ms(step, deployment)
        times[step.service] = times.get(step.service, 0.0) + held_ms
    return times


def get_slots(deployment: deployments.Deployment) -> Mapping[str, int]:
    """Returns the total slots of each service."""
    return {one.name: one.workers * one.slots for one in deployment.services}


def get_rate_per_s(
    deployment: deployments.Deployment, mix: tuple[demands.Share, ...]
) -> float:
    """Returns the highest rate of the mix that no service's slots limit."""
    chains = {one.name: one for one in deployment.chains}
    total = sum(share.weight for share in mix)
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
    return next(one for one in deployment.services if one.name == step.service)
