"""First contact through the platform, and its load on the platform."""

import asyncio
from collections.abc import AsyncIterator
import contextlib

import pytest

from kumquatridge.membership import bootstrap
from kumquatridge.membership import recorder
from kumquatridge.platform import contact_repository
from kumquatridge.standins import platform_store
from tests.membership import fleet

NODES = 20
# The load is measured in one such period; all nodes must have joined after two.
# After an outage a node's next call to the platform may be up to 90 s away:
# `retry_max_ms` with jitter.
JOIN_BOUND_S = 60.0
# The load of `NODES` is scaled to a fleet of this size, which must stay within
# the limits of the platform.
FLEET_SIZE = 1500
MAX_READS_PER_S = 500
MAX_WRITES_PER_S = 100


@contextlib.asynccontextmanager
async def run_nodes(
    store: platform_store.PlatformStore, faults: fleet.Faults
) -> AsyncIterator[list[fleet.Node]]:
    """Runs nodes that have no seeds, only the platform."""
    network = fleet.Network(1, faults)
    nodes = [fleet.Node(network, f"n{index}") for index in range(NODES)]
    contacts = contact_repository.PlatformContactRepository(store.connect())
    async with contextlib.AsyncExitStack() as stack:
        for seed, node in enumerate(nodes):
            await node.start()
            stack.push_async_callback(node.crash)
            await stack.enter_async_context(
                bootstrap.Bootstrap(
                    bootstrap.BootstrapSettings(),
                    node.table,
                    contacts,
                    recorder.NoRecorder(),
                    seed,
                    join_local=node.gossip.join_once,
                    join_remote=node.remote.join,
                )
            )
        yield nodes


def have_joined(nodes: list[fleet.Node]) -> bool:
    return all(len(node.table.get_live()) == NODES - 1 for node in nodes)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("down_s", "drop_ratio"),
    [
        pytest.param(0.0, 0.0, id="platform up"),
        pytest.param(0.0, 0.1, id="messages lost"),
        pytest.param(3600.0, 0.0, id="platform down for an hour"),
    ],
)
async def test_nodes_join_within_the_platform_limits(
    down_s: float, drop_ratio: float
) -> None:
    store = platform_store.PlatformStore()
    store.set_faults(platform_store.PlatformFaults(down=down_s > 0))
    async with run_nodes(store, fleet.Faults(drop_ratio=drop_ratio)) as nodes:
        await asyncio.sleep(down_s)
        store.set_faults(platform_store.NO_FAULTS)
        before = store.meter
        await asyncio.sleep(JOIN_BOUND_S)
        first_minute = store.meter
        await fleet.wait_until(lambda: have_joined(nodes), JOIN_BOUND_S)
        scale = FLEET_SIZE / NODES / JOIN_BOUND_S
        reads = first_minute.reads - before.reads
        writes = first_minute.writes - before.writes
        assert reads * scale < MAX_READS_PER_S
        assert writes * scale < MAX_WRITES_PER_S


@pytest.mark.looptime
async def test_platform_is_not_written_when_nothing_changes() -> None:
    store = platform_store.PlatformStore()
    async with run_nodes(store, fleet.Faults()) as nodes:
        await asyncio.sleep(JOIN_BOUND_S * 2)
        assert have_joined(nodes)
        before = store.meter
        # Less than `remote_interval_ms`, so that the contacts in other data
        # centres are read once at most.
        await asyncio.sleep(250.0)
        assert store.meter.writes == before.writes
        assert store.meter.reads - before.reads <= 1
