"""Measures how soon a change of settings is in force at complete daemons.

In contrast to `benchmarks.settings`, it runs complete daemons, also with their
call paths. They run in `--parts` child processes and are connected over
loopback. The main process runs the platform stand-in, which they reach over
HTTP, and writes changes with the library of the command-line tool. Prints one
line for each change.
"""

import asyncio
from collections.abc import AsyncIterator, Mapping
import contextlib
import dataclasses
import json
import pathlib
import sys
import tempfile
import time

import click
import eliot
import psutil

from kumquatridge.benchmarks import changes
from kumquatridge.benchmarks import waits
from kumquatridge.daemon import runtime
from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.platform import client as platform_client
from kumquatridge.standins import loopback
from kumquatridge.standins import platform as platform_server
from kumquatridge.standins import platform_store

TREE = '{"children": {"team-0": {"children": {"service-0": {}}}}}'
HOSTS_PER_OCTET = 250
CALLER_PORT = 7411
CALL_PORT = 7412
CONTROL_PORT = 7413
OPERATOR_PORT = 7414
# Wait between the writing of the tree and the first change.
SETTLE_S = 30.0
CHANGE_PAUSE_S = 3.0
POLL_INTERVAL_S = 0.01
CHANGE_TIMEOUT_S = 60.0
BYTES_PER_MB = 1e6


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedNode:
    """A version of a settings node came into force at a daemon.

    Child processes print it as a line of JSON. `node` is the path and the
    version, separated by a space; `at_s` is a Unix time.
    """

    node: str
    at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ChangeReport:
    """Seconds until one change was in force at each daemon.

    `resident_mb` is the memory of all processes together.
    """

    daemons: int
    node: str
    first_s: float
    median_s: float
    last_s: float
    resident_mb: float


class InForceTimes:
    """Times at which each version of a settings node came into force."""

    def __init__(self) -> None:
        self._at_s: dict[str, list[float]] = {}

    async def read(self, stream: asyncio.StreamReader) -> None:
        """Records the lines that a child process prints until it ends."""
        async for line in stream:
            applied = AppliedNode(**json.loads(line))
            self._at_s.setdefault(applied.node, []).append(applied.at_s)

    def get(self, node: str) -> list[float]:
        """Returns the sorted Unix times at which daemons applied a version.

        `node` is the path and the version, as in `AppliedNode`.
        """
        return sorted(self._at_s.get(node, ()))


def make_settings(
    index: int, tree_file: pathlib.Path, platform_address: str
) -> daemon_settings.DaemonSettings:
    """Returns settings of one daemon.

    Each daemon has a loopback address of its own, so that all use the same
    ports.
    """
    third, fourth = divmod(index, HOSTS_PER_OCTET)
    host = f"127.2.{third}.{fourth + 1}"
    return daemon_settings.DaemonSettings(
        instance=f"instance-{index:03}",
        data_centre=loopback.DATA_CENTRE,
        caller_address=f"{host}:{CALLER_PORT}",
        call_address=f"{host}:{CALL_PORT}",
        control_address=f"{host}:{CONTROL_PORT}",
        operator_address=f"{host}:{OPERATOR_PORT}",
        peer_key=loopback.PEER_KEY,
        tree_file=str(tree_file),
        seeds=tuple(f"127.2.0.{one}:{CONTROL_PORT}" for one in (1, 2)),
        platform_address=platform_address,
        settings_key=changes.KEY,
    )


async def run_part(
    indexes: range, tree_file: pathlib.Path, platform_address: str
) -> None:
    """Runs the daemons of one child process until it is terminated."""
    eliot.add_destinations(_print_applied)
    async with contextlib.AsyncExitStack() as stack:
        for index in indexes:
            settings = make_settings(index, tree_file, platform_address)
            await stack.enter_async_context(runtime.Daemon(settings))
        await asyncio.Event().wait()


def _print_applied(message: Mapping[str, object]) -> None:
    """Prints the nodes of a `SettingsApplied` event; ignores other events."""
    applied = message.get("nodes")
    if not isinstance(applied, (list, tuple)):
        return
    now_s = time.time()
    for node in applied:
        line = json.dumps(dataclasses.asdict(AppliedNode(str(node), now_s)))
        print(line, flush=True)


async def measure(
    daemons: int, parts: int, change_count: int
) -> AsyncIterator[ChangeReport]:
    """Runs the daemons in `parts` processes; yields a report per change."""
    address = loopback.get_free_address()
    store = platform_store.PlatformStore()
    in_force_times = InForceTimes()
    async with contextlib.AsyncExitStack() as stack:
        enter = stack.enter_async_context
        await enter(platform_server.PlatformServer(address, store))
        child_processes = [
            await enter(
                _run_process(daemons, parts, part, address, in_force_times)
            )
            for part in range(parts)
        ]
        client = await enter(
            platform_client.PlatformClient(
                platform_client.ClientSettings(address)
            )
        )
        operator = changes.Operator(client)
        await operator.write_tree(changes.SMALL)
        await asyncio.sleep(SETTLE_S)
        for number in range(change_count):
            report = await _measure_change(
                operator, in_force_times, daemons, number
            )
            yield dataclasses.replace(
                report, resident_mb=_sum_resident_mb(child_processes)
            )
            await asyncio.sleep(CHANGE_PAUSE_S)


async def _measure_change(
    operator: changes.Operator,
    in_force_times: InForceTimes,
    daemons: int,
    number: int,
) -> ChangeReport:
    path = f"/team-0/service-{number % changes.SMALL.services}"
    started_s = time.time()
    version = await operator.write(path, changes.DEADLINE_MS - 1 - number)
    node = f"{path} {version}"
    async with asyncio.timeout(CHANGE_TIMEOUT_S):
        await waits.wait_until(
            lambda: len(in_force_times.get(node)) >= daemons, POLL_INTERVAL_S
        )
    times_s = [one - started_s for one in in_force_times.get(node)]
    return ChangeReport(
        daemons, node, times_s[0], times_s[daemons // 2], times_s[-1], 0.0
    )


def _sum_resident_mb(child_processes: list[psutil.Process]) -> float:
    size_bytes = sum(float(one.memory_info().rss) for one in child_processes)
    return size_bytes / BYTES_PER_MB


@contextlib.asynccontextmanager
async def _run_process(
    daemons: int,
    parts: int,
    part: int,
    address: str,
    in_force_times: InForceTimes,
) -> AsyncIterator[psutil.Process]:
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "kumquatridge.benchmarks.whole_fleet",
        str(daemons),
        f"--parts={parts}",
        f"--part={part}",
        f"--platform={address}",
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.DEVNULL,
    )
    assert process.stdout is not None
    reader_task = asyncio.create_task(in_force_times.read(process.stdout))
    try:
        yield psutil.Process(process.pid)
    finally:
        process.kill()
        await process.wait()
        await reader_task


async def _print_reports(daemons: int, parts: int, change_count: int) -> None:
    async for report in measure(daemons, parts, change_count):
        click.echo(json.dumps(dataclasses.asdict(report)))


@click.command()
@click.argument("daemons", default=64)
@click.option("--parts", default=3, help="Processes that share the daemons.")
@click.option("--changes", "change_count", default=10)
@click.option("--part", default=-1, hidden=True)
@click.option("--platform", default="", hidden=True)
def main(
    *, daemons: int, parts: int, change_count: int, part: int, platform: str
) -> None:
    """Measures when changes are in force at complete daemons over sockets."""
    if part < 0:
        asyncio.run(_print_reports(daemons, parts, change_count))
        return
    with tempfile.TemporaryDirectory() as folder:
        tree_file = pathlib.Path(folder) / "tree.jsonc"
        tree_file.write_text(TREE)
        indexes = range(part, daemons, parts)
        asyncio.run(run_part(indexes, tree_file, platform))


if __name__ == "__main__":
    main()
