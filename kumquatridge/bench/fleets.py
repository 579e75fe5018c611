"""What a scenario needs of a fleet, whether the product or the naive one."""

import dataclasses
import types
from typing import Protocol, Self

from kumquatridge.bench import deployments
from kumquatridge.bench import first_contact
from kumquatridge.bench import jobs
from kumquatridge.bench import network as bench_network
from kumquatridge.bench import process
from kumquatridge.bench import records as bench_records
from kumquatridge.bench import workers
from kumquatridge.calls import outcomes
from kumquatridge.settings import policy as settings_policy


@dataclasses.dataclass(frozen=True, slots=True)
class Environment:
    """What all instances of a fleet share in one run."""

    deployment: deployments.Deployment
    network: bench_network.FakeNetwork
    policies: settings_policy.PolicyLookup
    book: jobs.JobBook
    records: bench_records.Records
    seed: str


class HasProcess(Protocol):
    """Whatever runs in a process of its own."""

    @property
    def process(self) -> process.FakeProcess:
        """The process: of a daemon, or of a worker."""
        ...


class Instance(HasProcess, Protocol):
    """An instance: a worker and, in the product, the daemon beside it."""

    @property
    def data_centre(self) -> str:
        """Where the instance stands."""
        ...

    @property
    def worker(self) -> workers.FakeWorker:
        """The worker."""
        ...

    async def send(self, job: jobs.Job) -> outcomes.Outcome:
        """Serves a call of an outside caller."""
        ...

    async def restart_daemon(self) -> None:
        """Replaces the daemon by one that remembers nothing."""
        ...


class Fleet(Protocol):
    """All instances of a deployment, running while the context is open."""

    async def __aenter__(self) -> Self:
        """Starts the instances."""
        ...

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops the instances."""
        ...

    @property
    def network(self) -> bench_network.FakeNetwork:
        """What connects the instances."""
        ...

    @property
    def instances(self) -> tuple[Instance, ...]:
        """The instances, service by service."""
        ...

    @property
    def platform(self) -> first_contact.FakePlatform:
        """The platform that the daemons know each other by."""
        ...

    async def find_others(self, instance: "Instance") -> None:
        """Returns once a restarted instance knows its data centre."""
        ...

    def note_reachability(self) -> None:
        """Lets the fleet's membership follow a cut or a lost process."""
        ...
