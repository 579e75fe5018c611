"""The naive fleet: random worker, unbounded queue, three retries a hop."""

import asyncio
import random
import types
from typing import Self

from kumquatridge.bench import first_contact
from kumquatridge.bench import fleets
from kumquatridge.bench import jobs
from kumquatridge.bench import placement
from kumquatridge.bench import process as bench_process
from kumquatridge.bench import troubles
from kumquatridge.bench import workers
from kumquatridge.calls import outcomes

RETRIES = 3
LOST_S = 3600.0


class NaiveFleet:
    """Workers that call each other with nothing in between."""

    def __init__(self, environment: fleets.Environment) -> None:
        self.network = environment.network
        self.platform = first_contact.FakePlatform()
        self.policies = environment.policies
        self.random = random.Random(f"{environment.seed}/naive")
        self.instances = tuple(
            NaiveInstance(
                self,
                place.data_centre,
                workers.FakeWorker(
                    place,
                    environment.book,
                    environment.records,
                    environment.seed,
                ),
            )
            for place in placement.iter_places(environment.deployment)
        )
        self.by_service = {
            service.name: [
                one for one in self.instances if one.worker.service == service
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

    async def find_others(self, instance: fleets.Instance) -> None:
        """Does nothing: a worker knows the others from the start."""

    def note_reachability(self) -> None:
        """Does nothing: the naive version keeps no membership."""


class NaiveInstance:
    """A worker that sends its calls itself."""

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
        """Restarts the worker: there is no daemon."""

    async def send(self, job: jobs.Job) -> outcomes.Outcome:
        """Tries random workers until one answers well."""
        outcome: outcomes.Outcome = outcomes.Failed("not sent")
        for _ in range(1 + RETRIES):
            target = self._fleet.random.choice(
                self._fleet.by_service[job.step.service]
            )
            outcome = await self._try(job, target)
            if jobs.is_success(outcome):
                break
        return outcome

    async def _try(
        self, job: jobs.Job, target: "NaiveInstance"
    ) -> outcomes.Outcome:
        policy = self._fleet.policies.find(
            job.step.service, job.step.method, job.path
        )
        assert policy is not None
        work = asyncio.create_task(self._carry(job, target))
        work.add_done_callback(_retrieve)
        try:
            async with asyncio.timeout(policy.deadline_ms / 1000.0):
                return await asyncio.shield(work)
        except TimeoutError:
            return outcomes.Unknown("no answer in time")
        except bench_process.ProcessDownError:
            return outcomes.Failed("connection refused")
        except bench_process.ProcessLostError:
            return outcomes.Unknown("connection lost")

    async def _carry(
        self, job: jobs.Job, target: "NaiveInstance"
    ) -> outcomes.Outcome:
        carry = self._fleet.network.carry
        here, there = self.data_centre, target.data_centre
        if not await carry(here, there, troubles.Half.CALLS):
            await asyncio.sleep(LOST_S)
        outcome = await target.worker.process.run(
            target.worker.handle(job, target.send)
        )
        if not await carry(there, here, troubles.Half.ANSWERS):
            await asyncio.sleep(LOST_S)
        return outcome


def _retrieve(task: asyncio.Task[outcomes.Outcome]) -> None:
    """Marks the error of an answer that nobody waits for as seen."""
    if not task.cancelled():
        task.exception()
