"""HTTP handler for removing a destroyed instance from the homes of keys."""

import litestar
from litestar import datastructures
from litestar import exceptions

from kumquatridge.callpath import service_exchange


@litestar.delete("/v1/homes/{instance:str}")
async def retire_home(instance: str, state: datastructures.State) -> None:
    """Removes an instance permanently from the homes of idempotency keys.

    The home of a key is the only instance that may run the calls with that key.
    Use this only for an instance that can't run calls any more: other instances
    may run the calls with its keys afterwards.

    Raises:
      NotFoundException: the instance is not a home of keys of this daemon's
        service, was removed before, or is the instance of this daemon.
    """
    exchange: service_exchange.ServiceExchange = state.daemon.exchange
    if not exchange.retire(instance):
        raise exceptions.NotFoundException(
            f"{instance} is no home of this daemon's service, or left already"
        )
