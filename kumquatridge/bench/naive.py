"""Naive fleet: random worker, unbounded queues, three retries per hop."""

import asyncio
import random
import types
from typing import Self

from kumquatridge.bench import fault_types
from kumquatridge.bench import first_contact
from kumquatridge.bench import fleets
from kumquatridge.bench import jobs
from kumquatridge.bench import placement
from kumquatridge.bench import process as bench_process
from kumquatridge.bench import workers
from kumquatridge.calls import outcomes

# Highest number of retries of a call by its sender.
RETRIES = 3
# Longer than any deadline, so that the deadline ends the attempt.
LOST_MESSAGE_WAIT_S = 3600.0


class NaiveFleet:
    """Workers that call each other directly, without daemons."""

    def __init__(self, environment: fleets.Environment) -> None:
        self.network = environment.network
        self.platform = first_contact.FakePlatform()
        self.policies = environment.policies
        self.random = random.Random(f"{environment.seed}/naive")
        self.instances = tuple(
            NaiveInstance(
                self,
                worker_placement.data_centre,
                workers.FakeWorker(
                    worker_placement,
                    environment.job_registry,
                    environment.records,
                    environment.seed,
                ),
            )
            for worker_placement in placement.iter_placements(
                environment.deployment
            )
        )
        # The instances of each service, by the name of the service.
        self.by_service = {
            service.name: [
                instance
                for instance in self.instances
                if instance.worker.service == service
            ]
            for service in environment.deployment.services
        }

    async def __aenter__(self) -> Self:
        """Starts nothing."""
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops nothing."""

    async def rejoin(self, instance: fleets.Instance) -> None:
        """Does nothing: every worker has a fixed list of the others."""

    def update_reachability(self) -> None:
        """Does nothing: the naive fleet has no membership."""


class NaiveInstance:
    """A worker that sends its calls directly to other workers."""

    def __init__(
        self, fleet: NaiveFleet, data_centre: str, worker: workers.FakeWorker
    ) -> None:
        self.data_centre = data_centre
        self.worker = worker
        self._fleet = fleet

    @property
    def process(self) -> bench_process.FakeProcess:
        """The worker's process."""
        return self.worker.process

    async def restart_daemon(self) -> None:
        """Does nothing: there is no daemon, and `process` is the worker."""

    async def send(self, job: jobs.Job) -> outcomes.Outcome:
        """Sends a call to random workers until one succeeds.

        Makes at most 1 + RETRIES attempts.
        """
        outcome: outcomes.Outcome = outcomes.Failed("not sent")
        for _ in range(1 + RETRIES):
            target = self._fleet.random.choice(
                self._fleet.by_service[job.step.service]
            )
            outcome = await self._attempt(job, target)
            if jobs.is_success(outcome):
                break
        return outcome

    async def _attempt(
        self, job: jobs.Job, target: "NaiveInstance"
    ) -> outcomes.Outcome:
        """Sends a call to a worker, which continues it after a time-out."""
        policy = self._fleet.policies.find(
            job.step.service, job.step.method, job.path
        )
        assert policy is not None
        work = asyncio.create_task(self._transmit(job, target))
        work.add_done_callback(_retrieve_exception)
        try:
            async with asyncio.timeout(policy.deadline_ms / 1000.0):
                return await asyncio.shield(work)
        except TimeoutError:
            return outcomes.Unknown("no answer in time")
        except bench_process.ProcessDownError:
            return outcomes.Failed("connection refused")
        except bench_process.ProcessKilledError:
            return outcomes.Unknown("connection lost")

    async def _transmit(
        self, job: jobs.Job, target: "NaiveInstance"
    ) -> outcomes.Outcome:
        transmit = self._fleet.network.transmit
        source_centre, target_centre = self.data_centre, target.data_centre
        if not await transmit(
            source_centre, target_centre, fault_types.Direction.CALLS
        ):
            await asyncio.sleep(LOST_MESSAGE_WAIT_S)
        outcome = await target.worker.process.run(
            target.worker.handle(job, target.send)
        )
        if not await transmit(
            target_centre, source_centre, fault_types.Direction.ANSWERS
        ):
            await asyncio.sleep(LOST_MESSAGE_WAIT_S)
        return outcome


def _retrieve_exception(task: asyncio.Task[outcomes.Outcome]) -> None:
    """Retrieves the exception of a timed out attempt.

    Otherwise asyncio logs that it was never retrieved.
    """
    if not task.cancelled():
        task.exception()
