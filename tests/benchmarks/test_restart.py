"""Platform calls in the busiest second of a restart and after an outage.

Guards against synchronised daemons that exceed the limits of the platform: a
small simulation is scaled to the whole fleet.
"""

import pytest

from kumquatridge.benchmarks import control_simulation
from kumquatridge.benchmarks import restart

FLEET_DAEMONS = 1_500
DATA_CENTRES = 22
MAX_READS_PER_S = 500
MAX_WRITES_PER_S = 100


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("seeds", "known"),
    [
        pytest.param(2, True, id="seeds"),
        pytest.param(0, True, id="no seeds, contacts from before the restart"),
        pytest.param(0, False, id="no seeds, empty platform"),
    ],
)
async def test_busiest_second_of_a_restart_is_within_platform_limits(
    seeds: int, known: bool
) -> None:
    settings = control_simulation.SimulationSettings(
        48, data_centres=2, seeds=seeds
    )
    (report,) = await restart.measure(settings, has_contacts=known)
    assert report.met
    first = report.rates
    assert (
        first.most_reads_per_s * FLEET_DAEMONS / settings.daemons
        < MAX_READS_PER_S
    )
    data_centres = DATA_CENTRES / settings.data_centres
    assert first.most_writes_per_s * data_centres < MAX_WRITES_PER_S


@pytest.mark.looptime
async def test_calls_after_an_outage_are_within_platform_limits() -> None:
    settings = control_simulation.SimulationSettings(6, data_centres=2)
    reports = await restart.measure(settings, outage_s=3600.0)
    after = reports[-1].rates
    scale = DATA_CENTRES / settings.data_centres
    assert after.most_calls_per_s * scale < MAX_READS_PER_S
    assert after.most_writes_per_s * scale < MAX_WRITES_PER_S
