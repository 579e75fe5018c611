"""Deployment of the demo: daemons and workers of one process on loopback."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
import pathlib

from kumquatridge.daemon import runtime
from kumquatridge.daemon import settings as daemon_settings
from kumquatridge.membership import member as members
from kumquatridge.settings import credentials
from kumquatridge.standins import announcer
from kumquatridge.standins import loopback
from kumquatridge.standins import platform as platform_standin
from kumquatridge.standins import platform_store
from kumquatridge.standins import worker as worker_standin

SERVICE = "round-planning"
TREE_FILE = pathlib.Path(__file__).parent / "tree.jsonc"
# A stopping daemon accepts calls for this time (see `DaemonSettings.drain_ms`);
# short, as the load has ended.
DRAIN_MS = 50
# Credential of the platform operators, who may write the whole settings tree.
CREDENTIAL = credentials.Credential("/", "loopback operators")


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentSettings:
    """Number of workers, and slots and service time of each worker."""

    workers: int = 3
    slots: int = 20
    service_ms: float = 300.0

    @property
    def capacity_per_s(self) -> float:
        """Calls that all workers together complete in a second."""
        return self.workers * self.slots / self.service_ms * 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """Addresses and workers of a running deployment.

    The addresses and workers are in the order of the instances.
    """

    caller_addresses: tuple[str, ...]
    operator_addresses: tuple[str, ...]
    workers: tuple[worker_standin.SampleWorker, ...]
    platform_address: str

    def count_repeated_runs(self) -> int:
        """Returns the number of idempotency keys with more than one run."""
        # The default start of `sum`, 0, can't be added to a Counter.
        runs = sum(
            (worker.runs_by_key for worker in self.workers),
            start=type(self.workers[0].runs_by_key)(),
        )
        return sum(1 for count in runs.values() if count > 1)


@contextlib.asynccontextmanager
async def run_deployment(
    settings: DeploymentSettings,
) -> AsyncIterator[Deployment]:
    """Runs platform, daemons and workers while the context is open."""
    all_daemon_settings: list[daemon_settings.DaemonSettings] = []
    workers: list[worker_standin.SampleWorker] = []
    async with contextlib.AsyncExitStack() as stack:
        platform_address = loopback.get_free_address()
        await stack.enter_async_context(
            platform_standin.PlatformServer(
                platform_address, platform_store.PlatformStore()
            )
        )
        for number in range(settings.workers):
            # The first daemon is the seed of the others.
            seeds = (
                (all_daemon_settings[0].control_address,)
                if all_daemon_settings
                else ()
            )
            instance_settings = loopback.make_daemon_settings(
                f"planning-{number + 1}", TREE_FILE, *seeds, drain_ms=DRAIN_MS
            )
            instance_settings = dataclasses.replace(
                instance_settings,
                platform_address=platform_address,
                settings_key=CREDENTIAL.key,
            )
            await stack.enter_async_context(runtime.Daemon(instance_settings))
            worker_settings = worker_standin.WorkerSettings(
                loopback.get_free_address(), settings.service_ms, settings.slots
            )
            workers.append(
                await stack.enter_async_context(
                    worker_standin.SampleWorker(worker_settings)
                )
            )
            # The worker states as many connections as it has slots.
            announcement = members.Announcement(
                SERVICE,
                worker_settings.address,
                worker_settings.slots,
                worker_settings.slots,
            )
            await stack.enter_async_context(
                announcer.Announcer(
                    instance_settings.operator_address, announcement
                )
            )
            all_daemon_settings.append(instance_settings)
        yield Deployment(
            tuple(daemon.caller_address for daemon in all_daemon_settings),
            tuple(daemon.operator_address for daemon in all_daemon_settings),
            tuple(workers),
            platform_address,
        )
