"""The operators' word that an instance is destroyed."""

import litestar
from litestar import datastructures
from litestar import exceptions

from kumquatridge.callpath import service_exchange


@litestar.delete("/v1/homes/{instance:str}")
async def retire_home(instance: str, state: datastructures.State) -> None:
    """Takes an instance out of the homes of request keys for good.

    Only for an instance that can't run anything any more: its keys may run
    elsewhere from then on.
    """
    exchange: service_exchange.ServiceExchange = state.daemon.exchange
    if not exchange.retire(instance):
        raise exceptions.NotFoundException(
            f"{instance} is no home of this daemon's service, or left already"
        )
