"""Stands in for the news between the daemons of a service.

The messages and their loss are left out; who can't be reached or stands
still learns nothing. What is told and learned is the product's.
"""

import asyncio
from collections.abc import Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from kumquatridge.bench import product
    from kumquatridge.bench import product_instance

ROUND_S = 0.5
MESSAGE_S = 0.01


async def exchange_for_ever(fleet: "product.ProductFleet") -> None:
    """Lets all daemons exchange news, round after round."""
    while True:
        for instance in fleet.instances:
            tell(instance)
        await asyncio.sleep(ROUND_S)


def tell_later(instance: "product_instance.ProductInstance") -> None:
    """Has a daemon tell at once what changed."""
    asyncio.get_running_loop().call_later(MESSAGE_S, tell, instance)


def tell(instance: "product_instance.ProductInstance") -> None:
    """Exchanges a daemon's news with the others of its service."""
    peers = tuple(_iter_peers(instance))
    near = [one for one in peers if one.data_centre == instance.data_centre]
    instance.roster.meet(
        peer.name for peer in near if instance.members.get(peer.name)
    )
    instance.roster.join(may_found=instance.may_found())
    for peer in peers:
        if _can_talk(instance, peer):
            instance.crashes.merge(peer.crashes.export())
            peer.crashes.merge(instance.crashes.export())
            if peer in near:
                answer = peer.homes.answer(instance.homes.ask())
                instance.homes.conclude(answer)


def _iter_peers(
    instance: "product_instance.ProductInstance",
) -> Iterator["product_instance.ProductInstance"]:
    for other in instance.fleet.instances:
        if (
            other is not instance
            and other.worker.service == instance.worker.service
        ):
            yield other


def _can_talk(
    instance: "product_instance.ProductInstance",
    peer: "product_instance.ProductInstance",
) -> bool:
    pair = (instance, peer)
    if any(one.process.is_paused or not one.process.is_up for one in pair):
        return False
    return instance.fleet.is_reachable(instance, peer)
