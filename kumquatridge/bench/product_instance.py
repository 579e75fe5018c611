"""Instance of the product: real decision code, simulated input and output."""

import dataclasses
import itertools
import random
from typing import TYPE_CHECKING

from kumquatridge import clock
from kumquatridge.admission import controller as admission_controller
from kumquatridge.bench import fake_links
from kumquatridge.bench import jobs
from kumquatridge.bench import placement
from kumquatridge.bench import process as bench_process
from kumquatridge.bench import run_recorder
from kumquatridge.bench import workers
from kumquatridge.callpath import at_most_once
from kumquatridge.callpath import call_builder
from kumquatridge.callpath import home_resolver
from kumquatridge.callpath import inbound
from kumquatridge.callpath import outbound
from kumquatridge.callpath import service_exchange
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.chain import inbound_calls
from kumquatridge.chain import retry_budget
from kumquatridge.idempotency import handover
from kumquatridge.idempotency import home_registry
from kumquatridge.idempotency import key_table as key_tables
from kumquatridge.idempotency import keys
from kumquatridge.idempotency import settings as key_settings
from kumquatridge.membership import first_contact
from kumquatridge.membership import member as members
from kumquatridge.membership import table
from kumquatridge.quarantine import crash_registry
from kumquatridge.routing import chooser as routing

if TYPE_CHECKING:
    from kumquatridge.bench import product

CHOOSER_SEED_BITS = 64
# Secret with which the daemons sign the idempotency keys that they issue.
PEER_KEY = "bench"


class ProductInstance:
    """A stand-in worker and a daemon that runs the product's decision code.

    Links, network and processes are simulated.
    """

    def __init__(
        self,
        fleet: "product.ProductFleet",
        worker_placement: placement.WorkerPlacement,
    ) -> None:
        self.fleet = fleet
        self.environment = fleet.environment
        self.name = worker_placement.name
        self.data_centre = worker_placement.data_centre
        self.worker = workers.FakeWorker(
            worker_placement,
            self.environment.job_registry,
            self.environment.records,
            self.environment.seed,
        )
        self.process = bench_process.FakeProcess(worker_placement.name)
        self._placement = worker_placement
        self._incarnations = itertools.count(1)
        self._build_daemon()

    def _build_daemon(self) -> None:
        """Builds a daemon without state."""
        self.members = table.MemberTable(self._make_member())
        recorder = run_recorder.RunRecorder(self.environment, self.name)
        seed = random.Random(
            f"{self.environment.seed}/{self.name}/chooser"
        ).getrandbits(CHOOSER_SEED_BITS)
        controller = admission_controller.AdmissionController(
            self._placement.service.slots
        )
        inbound_registry = inbound_calls.InboundCallRegistry()
        self._builder = call_builder.CallBuilder(
            self.environment.policies, inbound_registry, recorder
        )
        self.crashes = crash_registry.CrashRegistry(
            crash_registry.QuarantineSettings(),
            self.name,
            self._notify_changed,
        )
        self._inbound = inbound.InboundPath(
            self.members,
            controller,
            inbound_registry,
            fake_links.FakeWorkerLink(self),
            recorder,
            crashes=self.crashes,
        )
        self._outbound = outbound.OutboundPath(
            self.members,
            routing.InstanceChooser(self.members, seed),
            self._inbound,
            fake_links.FakePeerLink(self),
            run_recorder.RunRecorder(self.environment, None),
            retry_budgets=retry_budget.RetryBudgets(
                retry_budget.RetryBudgetSettings()
            ),
        )
        self._keyed_path = self._make_keyed_path()
        self._exchange = service_exchange.ServiceExchange(
            self.members,
            self.home_registry,
            self.homes,
            self.crashes,
            fake_links.FakeServiceLink(self),
            get_first_contacts=self._get_first_contacts,
        )

    def _make_keyed_path(self) -> at_most_once.AtMostOncePath:
        settings = key_settings.KeySettings()
        own = self.members.own
        self.home_registry = home_registry.HomeRegistry(
            settings, self.name, own.incarnation
        )
        home = keys.HomeId(self.name, str(own.incarnation))
        key_table = key_tables.KeyTable(settings)
        handed_over = handover.HandedOverKeys(settings)
        self.homes = handover.HomeExchange(
            self.home_registry, key_table, handed_over
        )
        return at_most_once.AtMostOncePath(
            self.members,
            self._inbound,
            self._outbound,
            fake_links.FakePeerLink(self),
            run_recorder.RunRecorder(self.environment, None),
            resolver=home_resolver.HomeResolver(
                settings,
                home,
                keys.KeyIssuer(home, PEER_KEY),
                self.home_registry,
                self.members,
                stalls=self.process,
                handed_over_keys=handed_over,
            ),
            key_table=key_table,
        )

    def _make_member(self) -> members.Member:
        service = self._placement.service
        return members.Member(
            instance=self.name,
            incarnation=next(self._incarnations),
            data_centre=self.data_centre,
            call_address=self.name,
            control_address=self.name,
            announcement=members.Announcement(
                service.name, self.name, service.slots, service.slots * 8
            ),
        )

    async def send(self, job: jobs.Job) -> outcomes.Outcome:
        """Handles a call of an external caller."""
        return await self._dispatch(job, None)

    async def send_from_worker(
        self, job: jobs.Job, token: str
    ) -> outcomes.Outcome:
        """Handles a call that the local worker makes."""
        try:
            outcome = await self.process.run(self._dispatch(job, token))
        except bench_process.ProcessDownError:
            outcome = outcomes.Failed("own daemon is down")
        except bench_process.ProcessKilledError:
            outcome = outcomes.Unknown("own daemon was killed during the call")
        self.environment.records.record_outcome(job, outcome)
        return outcome

    async def _dispatch(
        self, job: jobs.Job, token: str | None
    ) -> outcomes.Outcome:
        await self.process.wait_while_paused()
        request = jobs.make_request(job, token)
        with self._builder.start_call(request) as started:
            match started:
                case calls.Call():
                    if token is None:
                        self.environment.records.record_root(started)
                    async with self._keyed_path.dispatch(started) as outcome:
                        self._builder.record_outcome(request, outcome)
                        return outcome
                case refusal:
                    return outcomes.NotRun(refusal)

    async def serve(self, call: calls.Call) -> outcomes.Outcome:
        """Handles a call that another daemon sent."""
        await self.process.wait_while_paused()
        async with self._inbound.serve(call) as outcome:
            return outcome

    async def serve_home(self, call: calls.Call) -> outcomes.Outcome:
        """Handles a call to this daemon as the home of its idempotency key."""
        await self.process.wait_while_paused()
        received = dataclasses.replace(call, received_ms=clock.get_now_ms())
        async with self._keyed_path.serve(received) as outcome:
            return outcome

    async def restart_daemon(self) -> None:
        """Replaces the daemon by one without state."""
        await self.close()
        self.fleet.first_contact.record_restart(self)
        self._build_daemon()
        await self.open()

    async def open(self) -> None:
        """Starts the exchange of updates with the service's other daemons."""
        await self._exchange.__aenter__()

    async def close(self) -> None:
        """Stops the daemon and cancels what it still runs."""
        await self._exchange.__aexit__(None, None, None)
        await self._keyed_path.__aexit__(None, None, None)

    async def handle_update(
        self, update: service_exchange.ServiceUpdate
    ) -> service_exchange.ServiceUpdate | None:
        """Handles an update from another daemon and returns the answer."""
        await self.process.wait_while_paused()
        return self._exchange.handle_update(update)

    def _notify_changed(self) -> None:
        self._exchange.notify_changed()

    def _get_first_contacts(self) -> first_contact.FirstContacts:
        return self.fleet.first_contact.get_contacts(self)

    def refute(self) -> None:
        """Raises the incarnation, so that others consider the daemon alive."""
        self.members.set_own(self._make_member())
