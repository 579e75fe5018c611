"""Measures how soon a crashed daemon gets no more calls.

Runs daemons in virtual time, with the network and the platform simulated in
memory, and crashes one after another. Prints one line for each size.
"""

import asyncio
import dataclasses
import json
import statistics

import click

from kumquatridge.bench import virtual_time
from kumquatridge.benchmarks import control_network
from kumquatridge.benchmarks import control_simulation
from kumquatridge.benchmarks import waits
from kumquatridge.standins import platform_store

SETTLE_S = 30.0
CRASH_PAUSE_S = 5.0
POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class DeathsReport:
    """Seconds until no daemon routes calls to the crashed one."""

    daemons: int
    loss_ratio: float
    deaths: int
    median_s: float
    most_s: float


async def measure(
    settings: control_simulation.SimulationSettings, count: int
) -> DeathsReport:
    """Crashes `count` daemons, one after another."""
    platform = platform_store.PlatformStore()
    async with control_simulation.ControlSimulation(
        settings, platform
    ) as simulation:
        await asyncio.sleep(SETTLE_S)
        times_s = [await _measure_crash_s(simulation) for _ in range(count)]
    return DeathsReport(
        settings.daemons,
        settings.faults.loss_ratio,
        count,
        round(statistics.median(times_s), 2),
        round(max(times_s), 2),
    )


async def _measure_crash_s(
    simulation: control_simulation.ControlSimulation,
) -> float:
    loop = asyncio.get_running_loop()
    crashed = simulation.daemons.pop()
    await crashed.crash()
    started_s = loop.time()
    await waits.wait_until(
        lambda: (
            not any(one.may_route_to(crashed) for one in simulation.daemons)
        ),
        POLL_INTERVAL_S,
    )
    spent_s = loop.time() - started_s
    await asyncio.sleep(CRASH_PAUSE_S)
    return spent_s


@click.command()
@click.argument("sizes", nargs=-1, type=int, metavar="DAEMONS...")
@click.option("--loss", "loss_ratio", default=0.0, help="Share lost each way.")
@click.option("--deaths", "count", default=10)
def main(*, sizes: tuple[int, ...], loss_ratio: float, count: int) -> None:
    """Measures how soon crashed daemons get no calls."""
    for daemons in sizes:
        settings = control_simulation.SimulationSettings(
            daemons, faults=control_network.NetworkFaults(loss_ratio=loss_ratio)
        )
        loop = virtual_time.make_loop()
        report = loop.run_until_complete(measure(settings, count))
        click.echo(json.dumps(dataclasses.asdict(report)))


if __name__ == "__main__":
    main()
