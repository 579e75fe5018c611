"""Measures the bytes of control by daemon, in virtual time.

Daemons start at the same moment. Prints what each spends while they join, at
rest, and for changes of settings, with the part of each kind of message.
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
from kumquatridge.benchmarks import control_world
from kumquatridge.benchmarks import waits
from kumquatridge.standins import platform_store

JOIN_S = 10.0
SETTLE_S = 50.0
REST_S = 60.0
CHANGE_S = 30.0
POLL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class PhaseReport:
    """Bytes a second on the wire, sent and received together.

    `by_kind` has the messages alone, without headers, as the mean of all.
    """

    phase: str
    mean_bytes_per_s: float
    seed_bytes_per_s: float
    most_bytes_per_s: float
    exchanges_per_s: float
    by_kind: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeReport:
    """What one change of settings costs, above the traffic at rest.

    `by_kind` has the messages of a change and of what passes meanwhile.
    """

    bytes_per_daemon: float
    platform_reads: float
    platform_writes: float
    platform_watches: float
    in_force_most_s: float
    by_kind: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class TrafficReport:
    """What daemons of one size spend."""

    daemons: int
    data_centres: int
    loss_ratio: float
    met_after_s: float | None
    join: PhaseReport
    rest: PhaseReport
    change: ChangeReport | None


async def measure(
    settings: control_world.WorldSettings,
    size: changes.TreeSize,
    change_count: int,
    settle_s: float = SETTLE_S,
) -> TrafficReport:
    """Measures the daemons of one world."""
    platform = platform_store.PlatformStore()
    operator = changes.Operator(platform.connect())
    await operator.write_tree(size)
    async with control_world.World(settings, platform) as world:
        meeting = asyncio.create_task(_measure_meeting(world))
        join = await _measure_phase(world, "join", JOIN_S)
        await asyncio.sleep(settle_s)
        rest = await _measure_phase(world, "rest", REST_S)
        change = None
        if change_count:
            change = await _measure_changes(
                world, operator, rest, changes.list_paths(size), change_count
            )
        meeting.cancel()
        (met_after_s,) = await asyncio.gather(meeting, return_exceptions=True)
    return TrafficReport(
        settings.daemons,
        settings.data_centres,
        settings.faults.loss_ratio,
        met_after_s if isinstance(met_after_s, float) else None,
        join,
        rest,
        change,
    )


async def _measure_meeting(world: control_world.World) -> float:
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    await waits.wait_until(world.have_met, POLL_S)
    return loop.time() - started_s


async def _measure_phase(
    world: control_world.World, name: str, phase_s: float
) -> PhaseReport:
    for daemon in world.daemons:
        daemon.link.traffic.reset()
    await asyncio.sleep(phase_s)
    spent = [daemon.link.traffic for daemon in world.daemons]
    rates = [one.wire_bytes / phase_s for one in spent]
    message_count = sum(one.messages.total() for one in spent)
    return PhaseReport(
        name,
        round(sum(rates) / len(rates)),
        round(rates[0]),
        round(max(rates)),
        round(message_count / 2 / phase_s / len(spent), 2),
        _sum_kinds(spent, phase_s),
    )


def _sum_kinds(
    spent: Iterable[control_network.Traffic], phase_s: float
) -> dict[str, float]:
    total: collections.Counter[str] = collections.Counter()
    count = 0
    for one in spent:
        total.update(one.size_bytes)
        count += 1
    return {
        kind: round(size_bytes / phase_s / count, 1)
        for kind, size_bytes in sorted(total.items())
    }


async def _measure_changes(
    world: control_world.World,
    operator: changes.Operator,
    rest: PhaseReport,
    paths: tuple[str, ...],
    count: int,
) -> ChangeReport:
    loop = asyncio.get_running_loop()
    meter = world.platform.meter
    longest_s = 0.0
    for daemon in world.daemons:
        daemon.link.traffic.reset()
    for number in range(count):
        path = paths[-1 - number]
        version = await operator.write(path, changes.DEADLINE_MS - 1 - number)
        started_s = loop.time()
        await waits.wait_until(
            functools.partial(world.have_in_force, path, version), POLL_S
        )
        longest_s = max(longest_s, loop.time() - started_s)
        await asyncio.sleep(CHANGE_S)
    total = sum(one.link.traffic.wire_bytes for one in world.daemons)
    spent_s = count * CHANGE_S + longest_s
    at_rest = rest.mean_bytes_per_s * spent_s
    after = world.platform.meter
    return ChangeReport(
        round((total / len(world.daemons) - at_rest) / count),
        (after.reads - meter.reads) / count - 1,
        (after.writes - meter.writes) / count - 1,
        (after.watches - meter.watches) / count,
        round(longest_s, 2),
        _sum_kinds([one.link.traffic for one in world.daemons], float(count)),
    )


@click.command()
@click.argument("sizes", nargs=-1, type=int, metavar="DAEMONS...")
@click.option("--data-centres", default=1, help="Shared out among these.")
@click.option("--services", default=10, help="Services of all daemons.")
@click.option("--seeds", default=1, help="Seeds that each daemon is told.")
@click.option("--loss", "loss_ratio", default=0.0, help="Part lost each way.")
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
        settings = control_world.WorldSettings(
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
