"""The platform's highest second in a restart of all, and after an outage."""

import pytest

from kumquatridge.benchmarks import control_world
from kumquatridge.benchmarks import restart

FLEET = 1_500
DATA_CENTRES = 22
READS_PER_S = 500
WRITES_PER_S = 100


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("seeds", "known"),
    [
        pytest.param(2, True, id="seeds"),
        pytest.param(0, True, id="no seeds, contacts of before"),
        pytest.param(0, False, id="no seeds, an empty platform"),
    ],
)
async def test_highest_second_is_within_the_limits(
    seeds: int, known: bool
) -> None:
    settings = control_world.WorldSettings(48, data_centres=2, seeds=seeds)
    (report,) = await restart.measure(settings, known=known)
    assert report.met
    first = report.rates
    assert first.most_reads_per_s * FLEET / settings.daemons < READS_PER_S
    data_centres = DATA_CENTRES / settings.data_centres
    assert first.most_writes_per_s * data_centres < WRITES_PER_S


@pytest.mark.looptime
async def test_end_of_an_outage_brings_no_storm() -> None:
    settings = control_world.WorldSettings(6, data_centres=2)
    reports = await restart.measure(settings, outage_s=3600.0)
    after = reports[-1].rates
    scale = DATA_CENTRES / settings.data_centres
    assert after.most_calls_per_s * scale < READS_PER_S
    assert after.most_writes_per_s * scale < WRITES_PER_S
