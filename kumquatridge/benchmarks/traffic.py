"""Measures the control traffic per daemon in virtual time.

All daemons start at the same time. Prints the traffic of a daemon while they
join, at rest, and for changes of settings, broken down by kind of message.
"""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses
import functools
import json

import click

from kumquatridge.bench import virtual_time
from kumquatridge.benchmarks import changes
from kumquatridge.benchmarks import control_network
from kumquatridge.benchmarks import control_simulation
from kumquatridge.benchmarks import waits
from kumquatridge.standins import platform_store

JOIN_S = 10.0
SETTLE_S = 50.0
REST_S = 60.0
CHANGE_S = 30.0
POLL_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class PhaseReport:
    """Bytes per second on the wire, sent and received together.

    `seed_bytes_per_s` is the rate of the first daemon, which is a seed of its
    data centre. `by_kind` is the mean over all daemons for the messages without
    headers.
    """

    phase: str
    mean_bytes_per_s: float
    seed_bytes_per_s: float
    most_bytes_per_s: float
    exchanges_per_s: float
    by_kind: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeReport:
    """Cost of one change of settings, above the traffic at rest.

    `by_kind` is the bytes per change, the traffic at rest included. Platform
    reads and writes are those of the daemons, without the operator's.
    """

    bytes_per_daemon: float
    platform_reads: float
    platform_writes: float
    platform_watches: float
    in_force_most_s: float
    by_kind: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficReport:
    """Control traffic of daemons at one size.

    `met_after_s` is the time until each daemon knew all members of its data
    centre, or None if that did not happen.
    """

    daemons: int
    data_centres: int
    loss_ratio: float
    met_after_s: float | None
    join: PhaseReport
    rest: PhaseReport
    change: ChangeReport | None


async def measure(
    settings: control_simulation.SimulationSettings,
    size: changes.TreeSize,
    change_count: int,
    settle_s: float = SETTLE_S,
) -> TrafficReport:
    """Measures the daemons of one simulation."""
    platform = platform_store.PlatformStore()
    operator = changes.Operator(platform.connect())
    await operator.write_tree(size)
    async with control_simulation.ControlSimulation(
        settings, platform
    ) as simulation:
        join_task = asyncio.create_task(_measure_join_s(simulation))
        join = await _measure_phase(simulation, "join", JOIN_S)
        await asyncio.sleep(settle_s)
        rest = await _measure_phase(simulation, "rest", REST_S)
        change = None
        if change_count:
            change = await _measure_changes(
                simulation,
                operator,
                rest,
                changes.list_paths(size),
                change_count,
            )
        join_task.cancel()
        (join_result,) = await asyncio.gather(join_task, return_exceptions=True)
    return TrafficReport(
        settings.daemons,
        settings.data_centres,
        settings.faults.loss_ratio,
        join_result if isinstance(join_result, float) else None,
        join,
        rest,
        change,
    )


async def _measure_join_s(
    simulation: control_simulation.ControlSimulation,
) -> float:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    await waits.wait_until(simulation.have_all_joined, POLL_INTERVAL_S)
    return loop.time() - started_s


async def _measure_phase(
    simulation: control_simulation.ControlSimulation, name: str, phase_s: float
) -> PhaseReport:
    for daemon in simulation.daemons:
        daemon.link.traffic.reset()
    await asyncio.sleep(phase_s)
    traffic_by_daemon = [daemon.link.traffic for daemon in simulation.daemons]
    rates = [one.wire_bytes / phase_s for one in traffic_by_daemon]
    message_count = sum(one.messages.total() for one in traffic_by_daemon)
    return PhaseReport(
        name,
        round(sum(rates) / len(rates)),
        round(rates[0]),
        round(max(rates)),
        round(message_count / 2 / phase_s / len(traffic_by_daemon), 2),
        _average_by_kind(traffic_by_daemon, phase_s),
    )


def _average_by_kind(
    traffic_by_daemon: Iterable[control_network.Traffic], divisor: float
) -> dict[str, float]:
    total: collections.Counter[str] = collections.Counter()
    count = 0
    for one in traffic_by_daemon:
        total.update(one.size_bytes)
        count += 1
    return {
        kind: round(size_bytes / divisor / count, 1)
        for kind, size_bytes in sorted(total.items())
    }


async def _measure_changes(
    simulation: control_simulation.ControlSimulation,
    operator: changes.Operator,
    rest: PhaseReport,
    paths: tuple[str, ...],
    count: int,
) -> ChangeReport:
    loop = asyncio.get_running_loop()
    meter = simulation.platform.meter
    max_in_force_s = 0.0
    for daemon in simulation.daemons:
        daemon.link.traffic.reset()
    for number in range(count):
        path = paths[-1 - number]
        version = await operator.write(path, changes.DEADLINE_MS - 1 - number)
        started_s = loop.time()
        await waits.wait_until(
            functools.partial(simulation.have_in_force, path, version),
            POLL_INTERVAL_S,
        )
        max_in_force_s = max(max_in_force_s, loop.time() - started_s)
        await asyncio.sleep(CHANGE_S)
    total = sum(one.link.traffic.wire_bytes for one in simulation.daemons)
    spent_s = count * CHANGE_S + max_in_force_s
    rest_bytes = rest.mean_bytes_per_s * spent_s
    after = simulation.platform.meter
    # The operator reads and writes the node once for each change.
    return ChangeReport(
        round((total / len(simulation.daemons) - rest_bytes) / count),
        (after.reads - meter.reads) / count - 1,
        (after.writes - meter.writes) / count - 1,
        (after.watches - meter.watches) / count,
        round(max_in_force_s, 2),
        _average_by_kind(
            [one.link.traffic for one in simulation.daemons], float(count)
        ),
    )


@click.command()
@click.argument("sizes", nargs=-1, type=int, metavar="DAEMONS...")
@click.option("--data-centres", default=1, help="Shared out among these.")
@click.option("--services", default=10, help="Services of all daemons.")
@click.option("--seeds", default=1, help="Seed addresses of each daemon.")
@click.option("--loss", "loss_ratio", default=0.0, help="Share lost each way.")
@click.option("--changes", "change_count", default=0, help="Of the settings.")
@click.option("--settle", "settle_s", default=SETTLE_S, help="Before rest.")
@click.option("--target-tree", is_flag=True, help="A tree of 1,233 nodes.")
def main(
    *,
    sizes: tuple[int, ...],
    data_centres: int,
    services: int,
    seeds: int,
    loss_ratio: float,
    change_count: int,
    settle_s: float,
    target_tree: bool,
) -> None:
    """Measures control traffic by the number of daemons."""
    for count in sizes:
        settings = control_simulation.SimulationSettings(
            count,
            data_centres=data_centres,
            services=services,
            seeds=seeds,
            faults=control_network.NetworkFaults(loss_ratio=loss_ratio),
        )
        size = changes.TARGET if target_tree else changes.SMALL
        loop = virtual_time.make_loop()
        report = loop.run_until_complete(
            measure(settings, size, change_count, settle_s)
        )
        click.echo(json.dumps(dataclasses.asdict(report)))


if __name__ == "__main__":
    main()
