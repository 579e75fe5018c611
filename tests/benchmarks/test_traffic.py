"""Control traffic of each daemon stays within its bound.

Guards against traffic that grows with the number of daemons or concentrates at
the seed daemon.
"""

import pytest

from kumquatridge.benchmarks import changes
from kumquatridge.benchmarks import control_network
from kumquatridge.benchmarks import control_simulation
from kumquatridge.benchmarks import traffic

MAX_BYTES_PER_S = 3_000
CHANGES_PER_DAY = 1_400
DAY_S = 86_400.0


def make_simulation(
    daemons: int, loss_ratio: float = 0.0
) -> control_simulation.SimulationSettings:
    return control_simulation.SimulationSettings(
        daemons, faults=control_network.NetworkFaults(loss_ratio=loss_ratio)
    )


@pytest.mark.looptime
@pytest.mark.parametrize("daemons", [8, 32])
async def test_traffic_at_rest_with_changes_is_within_the_bound(
    daemons: int,
) -> None:
    report = await traffic.measure(make_simulation(daemons), changes.SMALL, 3)
    assert report.met_after_s is not None
    assert report.change is not None
    change_bytes_per_s = (
        report.change.bytes_per_daemon * CHANGES_PER_DAY / DAY_S
    )
    assert report.rest.mean_bytes_per_s + change_bytes_per_s < MAX_BYTES_PER_S
    assert report.rest.seed_bytes_per_s + change_bytes_per_s < MAX_BYTES_PER_S


# Guards against a verdict that differs between runs of the same code.
@pytest.mark.looptime
async def test_measurement_repeats() -> None:
    reports = [
        await traffic.measure(make_simulation(8), changes.SMALL, 1)
        for _ in range(2)
    ]
    assert reports[0].rest == reports[1].rest
    assert reports[0].change == reports[1].change
