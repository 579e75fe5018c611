"""Interface of a fleet; implemented by the product and the naive fleet.

The fleets are `product.ProductFleet` and `naive.NaiveFleet`.
"""

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
    """Objects that all instances of a fleet share in one run.

    `policies` finds the policies of the example's settings tree.
    """

    deployment: deployments.Deployment
    network: bench_network.FakeNetwork
    policies: settings_policy.PolicyLookup
    job_registry: jobs.JobRegistry
    records: bench_records.Records
    seed: str


class HasProcess(Protocol):
    """A daemon or worker that runs in a process of its own."""

    @property
    def process(self) -> process.FakeProcess:
        """The process of the daemon or worker."""
        ...


class Instance(HasProcess, Protocol):
    """A worker and, in the product, its daemon."""

    @property
    def data_centre(self) -> str:
        """Data centre of the instance."""
        ...

    @property
    def worker(self) -> workers.FakeWorker:
        """The worker."""
        ...

    async def send(self, job: jobs.Job) -> outcomes.Outcome:
        """Handles a call of an external caller."""
        ...

    async def restart_daemon(self) -> None:
        """Replaces the daemon by one without state."""
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
        """Network between the instances."""
        ...

    @property
    def instances(self) -> tuple[Instance, ...]:
        """The instances, ordered by service."""
        ...

    @property
    def platform(self) -> first_contact.FakePlatform:
        """The platform from which daemons get their first contacts."""
        ...

    async def rejoin(self, instance: "Instance") -> None:
        """Returns once a restarted instance has its first contacts."""
        ...

    def update_reachability(self) -> None:
        """Updates the membership after reachability changed."""
        ...
