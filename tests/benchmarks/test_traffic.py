"""Control traffic stays within its bound, the seed's too."""

import pytest

from kumquatridge.benchmarks import changes
from kumquatridge.benchmarks import control_network
from kumquatridge.benchmarks import control_world
from kumquatridge.benchmarks import traffic

BOUND_BYTES_PER_S = 3_000
CHANGES_PER_DAY = 1_400
DAY_S = 86_400.0


def make_world(
    daemons: int, loss_ratio: float = 0.0
) -> control_world.WorldSettings:
    return control_world.WorldSettings(
        daemons, faults=control_network.NetworkFaults(loss_ratio=loss_ratio)
    )


@pytest.mark.looptime
@pytest.mark.parametrize("daemons", [8, 32])
async def test_rest_and_changes_are_within_the_bound(daemons: int) -> None:
    report = await traffic.measure(make_world(daemons), changes.SMALL, 3)
    assert report.met_after_s is not None
    assert report.change is not None
    changing = report.change.bytes_per_daemon * CHANGES_PER_DAY / DAY_S
    assert report.rest.mean_bytes_per_s + changing < BOUND_BYTES_PER_S
    assert report.rest.seed_bytes_per_s + changing < BOUND_BYTES_PER_S
