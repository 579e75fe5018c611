"""The store comes back from an older copy and gives versions out again."""

import asyncio

import pytest

from kumquatridge.platform import errors
from kumquatridge.standins import platform_store
from tests.platform import deployment as deployments
from tests.platform import test_client

SHOP = deployments.make_route("/shop/", ("shop", 1))
ADDED = deployments.make_route("/added/", ("shop", 1))
ADDED_LATER = deployments.make_route("/later/", ("shop", 1))


async def write(store: platform_store.PlatformStore, count: int) -> None:
    """Writes objects that don't exist yet."""
    api = store.connect()
    for _ in range(count):
        await api.put(f"a/{len(store._history)}", b'"x"', 0)


# Guards against a change that is missed for good: it has a version that was
# given out before.
@pytest.mark.parametrize(
    "written",
    [
        pytest.param(0, id="older than the watch"),
        pytest.param(2, id="as old as the watch"),
        pytest.param(5, id="newer than the watch"),
    ],
)
@pytest.mark.parametrize("is_waiting", [False, True])
async def test_watch_from_before_the_return_is_no_longer_followed(
    written: int, is_waiting: bool
) -> None:
    store = platform_store.PlatformStore()
    await write(store, 4)
    async with test_client.connect(store) as client:
        listing = await client.list_objects("a/")
        if is_waiting:
            watch = asyncio.create_task(
                client.wait_for_changes("a/", listing.version, 1.0)
            )
            await asyncio.sleep(0.1)
        store.return_from_copy(2)
        await write(store, written)
        if not is_waiting:
            watch = asyncio.create_task(
                client.wait_for_changes("a/", listing.version, 1.0)
            )
        with pytest.raises(errors.PlatformHistoryLostError):
            await watch
        # The next listing has the versions of the new era.
        listing = await client.list_objects("a/")
        changes = await client.wait_for_changes("a/", listing.version, 0.05)
    assert len(listing.objects) == 2 + written
    assert listing.version == changes.version


# Guards against a configuration that goes back, and against one that is missed.
async def test_newest_configuration_stays_in_force_after_the_return() -> None:
    shop = deployments.Worker("shop-0", "shop")
    async with deployments.open_deployment(shop, routes=(SHOP,)) as deployment:
        store = deployment.store

        version = len(store._history)
        await deployment.publish(SHOP, ADDED)
        await wait_until_served(deployment, "/added/x")
        store.return_from_copy(version)
        # Longer than a watch takes to notice.
        await asyncio.sleep(0.5)
        request = deployments.make_request("/added/x")
        assert (await deployment.send(request)).status == 200
        await deployment.publish(SHOP, ADDED, ADDED_LATER)
        await wait_until_served(deployment, "/later/x")


async def wait_until_served(
    deployment: deployments.Deployment, path: str
) -> None:
    """Waits until requests for a path are served; fails after a while."""
    status = 0
    async with asyncio.timeout(5.0):
        while status != 200:
            await asyncio.sleep(deployments.POLL_S)
            request = deployments.make_request(path)
            status = (await deployment.send(request)).status
