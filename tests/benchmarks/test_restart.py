"""Platform calls in the busiest second of a restart and after an outage.

Guards against synchronised daemons that exceed the limits of the platform. The
calls of a small simulation are scaled to the whole fleet: reads at a restart by
the number of daemons, each of which may read its contacts, and all other calls
by the number of data centres, a few members of which call the platform.
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
    ("seeds", "has_contacts"),
    [
        pytest.param(2, True, id="seeds"),
        pytest.param(0, True, id="no seeds, contacts from before the restart"),
        pytest.param(0, False, id="no seeds, empty platform"),
    ],
)
async def test_busiest_second_of_a_restart_is_within_platform_limits(
    seeds: int, has_contacts: bool
) -> None:
    settings = control_simulation.SimulationSettings(
        48, data_centres=2, seeds=seeds
    )
    (report,) = await restart.measure(settings, has_contacts=has_contacts)
    assert report.met
    rates = report.rates
    assert (
        rates.most_reads_per_s * FLEET_DAEMONS / settings.daemons
        < MAX_READS_PER_S
    )
    scale = DATA_CENTRES / settings.data_centres
    assert rates.most_writes_per_s * scale < MAX_WRITES_PER_S


@pytest.mark.looptime
async def test_calls_after_an_outage_are_within_platform_limits() -> None:
    settings = control_simulation.SimulationSettings(6, data_centres=2)
    reports = await restart.measure(settings, outage_s=3600.0)
    rates = reports[-1].rates
    scale = DATA_CENTRES / settings.data_centres
    assert rates.most_calls_per_s * scale < MAX_READS_PER_S
    assert rates.most_writes_per_s * scale < MAX_WRITES_PER_S
