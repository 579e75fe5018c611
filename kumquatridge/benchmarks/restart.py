"""Measures the platform calls per second of a restart of all daemons.

Runs all daemons in virtual time, with the network and the platform simulated in
memory. Prints one line for each size and phase: the first minute after a
simultaneous start of all, a minute at rest, and the first minute after an
outage of the platform.
"""

import asyncio
import dataclasses
import json

import click

from kumquatridge.bench import virtual_time
from kumquatridge.benchmarks import control_simulation
from kumquatridge.standins import platform_store

PHASE_S = 60
SETTLE_BEFORE_REST_S = 120


@dataclasses.dataclass(frozen=True, slots=True)
class CallRates:
    """Calls to the platform: the total, and the most in any one second.

    Reads do not include opened watches; `most_calls_per_s` counts both.
    """

    reads: int
    most_reads_per_s: int
    writes: int
    most_writes_per_s: int
    watches: int
    most_watches_per_s: int
    most_calls_per_s: int


@dataclasses.dataclass(frozen=True, slots=True)
class RestartReport:
    """Platform calls of all daemons in one phase.

    `waiting_watches` are the open watches at the end of the phase, and
    `most_waiting_watches` their maximum since the start of all daemons. `met`
    says whether each daemon knows all members of its data centre by then.
    """

    daemons: int
    data_centres: int
    phase: str
    rates: CallRates
    most_waiting_watches: int
    waiting_watches: int
    met: bool


async def count_calls(
    platform: platform_store.PlatformStore, seconds: int
) -> CallRates:
    """Counts the calls of each second."""
    first = platform.meter
    before = first
    reads, writes, watches = [], [], []
    for _ in range(seconds):
        await asyncio.sleep(1.0)
        after = platform.meter
        reads.append(after.reads - before.reads)
        writes.append(after.writes - before.writes)
        watches.append(after.watches - before.watches)
        before = after
    return CallRates(
        sum(reads),
        max(reads),
        sum(writes),
        max(writes),
        sum(watches),
        max(watches),
        max(map(sum, zip(reads, watches, strict=True))),
    )


async def measure(
    settings: control_simulation.SimulationSettings,
    *,
    has_contacts: bool = True,
    rest: bool = False,
    outage_s: float = 0.0,
) -> list[RestartReport]:
    """Measures a start of all daemons, then rest, then the end of an outage.

    With `has_contacts` the platform still has the contacts, that is the control
    addresses of some members, that were written before the restart.
    """
    platform = platform_store.PlatformStore()
    if has_contacts:
        await control_simulation.write_contacts(settings, platform)
    platform.meter = platform_store.Meter()
    reports: list[RestartReport] = []
    async with control_simulation.ControlSimulation(
        settings, platform
    ) as simulation:

        async def add_report(phase: str) -> None:
            rates = await count_calls(platform, PHASE_S)
            reports.append(_make_report(settings, phase, rates, simulation))

        await add_report("restart")
        if rest:
            await asyncio.sleep(SETTLE_BEFORE_REST_S)
            await add_report("rest")
        if outage_s:
            platform.set_faults(platform_store.PlatformFaults(down=True))
            await asyncio.sleep(outage_s)
            platform.set_faults(platform_store.NO_FAULTS)
            await add_report(f"after an outage of {outage_s:.0f} s")
    return reports


def _make_report(
    settings: control_simulation.SimulationSettings,
    phase: str,
    rates: CallRates,
    simulation: control_simulation.ControlSimulation,
) -> RestartReport:
    meter = simulation.platform.meter
    return RestartReport(
        settings.daemons,
        settings.data_centres,
        phase,
        rates,
        meter.most_waiting_watches,
        meter.waiting_watches,
        simulation.have_all_joined(),
    )


@click.command()
@click.argument("sizes", nargs=-1, type=int, metavar="DAEMONS...")
@click.option("--data-centres", default=1, help="Shared out among these.")
@click.option("--seeds", default=2, help="Seed addresses of each daemon.")
@click.option("--rest", is_flag=True, help="Measures a minute at rest too.")
@click.option("--outage-s", default=0.0, help="Outage at the end, if any.")
@click.option("--known/--new", default=True, help="Contacts in the platform.")
def main(
    *,
    sizes: tuple[int, ...],
    data_centres: int,
    seeds: int,
    rest: bool,
    outage_s: float,
    known: bool,
) -> None:
    """Counts the platform calls of a restart of all daemons."""
    for count in sizes:
        settings = control_simulation.SimulationSettings(
            count, data_centres=data_centres, seeds=seeds
        )
        loop = virtual_time.make_loop()
        reports = loop.run_until_complete(
            measure(settings, has_contacts=known, rest=rest, outage_s=outage_s)
        )
        for report in reports:
            click.echo(json.dumps(dataclasses.asdict(report)))


if __name__ == "__main__":
    main()
