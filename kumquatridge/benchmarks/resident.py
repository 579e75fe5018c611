"""Measures complete daemons in separate processes, without calls."""

import asyncio
import contextlib
import dataclasses
import pathlib
import tempfile

from kumquatridge.benchmarks import processes
from kumquatridge.standins import loopback

# A stopping daemon accepts calls for this time (see `DaemonSettings.drain_ms`);
# short, as no calls arrive by then.
DRAIN_MS = 100


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessReport:
    """Cost of complete daemons in separate processes at rest.

    `resident_mb` and `threads` are the maxima over the processes,
    `core_ratio` is their mean share of one processor core.
    """

    processes: int
    resident_mb: float
    threads: int
    core_ratio: float


async def measure_processes(count: int, rest_s: float) -> ProcessReport:
    """Measures daemons that get no calls.

    Waits `rest_s` for the daemons to join each other, then measures their
    processor time over another `rest_s`.
    """
    async with contextlib.AsyncExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        tree_file = processes.write_tree(folder)
        first = loopback.make_daemon_settings(
            "instance-0", tree_file, drain_ms=DRAIN_MS
        )
        seeds = (first.control_address,)
        all_settings = [first]
        for index in range(1, count):
            name = f"instance-{index}"
            all_settings.append(
                loopback.make_daemon_settings(
                    name, tree_file, *seeds, drain_ms=DRAIN_MS
                )
            )
        daemons = [
            await stack.enter_async_context(
                processes.run_daemon(settings, folder)
            )
            for settings in all_settings
        ]
        await asyncio.sleep(rest_s)
        before_s = sum(processes.get_cpu_s(one) for one in daemons)
        await asyncio.sleep(rest_s)
        spent_s = sum(processes.get_cpu_s(one) for one in daemons) - before_s
        return ProcessReport(
            processes=count,
            resident_mb=max(one.memory_info().rss for one in daemons) / 1e6,
            threads=max(one.num_threads() for one in daemons),
            core_ratio=spent_s / count / rest_s,
        )
