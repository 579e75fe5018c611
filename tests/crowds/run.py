"""Plays crowds as large as the limits of a machine bear.

    python -m tests.crowds.run [--clients N] [--memory-mb N] [--descriptors N]

Prints the memory and the descriptors of both daemons for each crowd, and the
statuses of the ordinary requests after it.
"""

import asyncio
import pathlib
import sys
import tempfile

import click

from tests.crowds import clients
from tests.crowds import machines as crowd_machines
from tests.crowds import test_crowds


async def play(
    crowd: clients.Crowd, count: int, limits: crowd_machines.MachineLimits
) -> bool:
    """Plays a crowd; returns whether the bounds held."""
    with tempfile.TemporaryDirectory() as name:
        async with crowd_machines.open_machines(
            limits,
            test_crowds.choose_answer,
            pathlib.Path(name),
            test_crowds.SLOTS,
            test_crowds.MAX_HEADER_BYTES,
        ) as machines:
            address = machines.addresses[crowd.machine][crowd.listener]
            async with clients.open_crowd(crowd, address, count):
                statuses = await test_crowds.send_ordinary(machines)
                usages = [machines.measure(number) for number in (0, 1)]
            are_running = [machines.is_running(number) for number in (0, 1)]
    for usage in usages:
        click.echo(
            f"  {usage.peak_bytes // test_crowds.MB_BYTES} MB, "
            f"{usage.descriptors} descriptors"
        )
    click.echo(f"  ordinary requests: {statuses}")
    return (
        all(are_running)
        and statuses == [200, 200]
        and all(
            usage.peak_bytes <= limits.memory_mb * test_crowds.MB_BYTES
            and usage.descriptors <= limits.max_descriptors
            for usage in usages
        )
    )


@click.command()
@click.option("--clients", "count", default=3800, help="Clients of a crowd.")
@click.option("--memory-mb", default=300, help="Memory of a daemon.")
@click.option("--descriptors", default=4100, help="Descriptors of a daemon.")
def main(count: int, memory_mb: int, descriptors: int) -> None:
    """Plays all crowds one after the other."""
    limits = crowd_machines.MachineLimits(memory_mb, descriptors)
    failed = 0
    for parameters in test_crowds.CROWDS:
        (crowd,) = parameters.values
        assert isinstance(crowd, clients.Crowd)
        click.echo(f"{parameters.id}:")
        is_held = asyncio.run(play(crowd, count, limits))
        failed += not is_held
        click.echo("  held" if is_held else "  NOT HELD")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
