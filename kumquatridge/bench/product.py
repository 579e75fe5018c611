"""Fleet of the product: its instances and their membership."""

import dataclasses
import types
from typing import Self

from kumquatridge import clock
from kumquatridge.bench import first_contact
from kumquatridge.bench import fleets
from kumquatridge.bench import placement
from kumquatridge.bench import product_instance
from kumquatridge.membership import member as members
from kumquatridge.membership import summaries


class ProductFleet:
    """The instances of a deployment, each with its own daemon."""

    def __init__(self, environment: fleets.Environment) -> None:
        self.environment = environment
        self.network = environment.network
        self.platform = first_contact.FakePlatform()
        self.first_contact = first_contact.FirstContact(self.platform)
        self.instances = tuple(
            product_instance.ProductInstance(self, worker_placement)
            for worker_placement in placement.iter_placements(
                environment.deployment
            )
        )
        # Names of an observer and of an instance that it could not reach at the
        # last update.
        self._unreachable: set[tuple[str, str]] = set()
        self._by_name = {instance.name: instance for instance in self.instances}
        self.update_reachability()

    async def __aenter__(self) -> Self:
        """Starts the exchange of updates between the daemons."""
        for instance in self.instances:
            await instance.open()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Stops the daemons."""
        for instance in self.instances:
            await instance.close()

    def find(self, name: str) -> product_instance.ProductInstance:
        """Returns an instance by its name."""
        return self._by_name[name]

    async def rejoin(self, instance: fleets.Instance) -> None:
        """Returns once a restarted daemon has all its first contacts."""
        restarted = self.find(instance.worker.name)
        await self.first_contact.rejoin(restarted)
        self.update_reachability()
        await self.first_contact.query_platform(restarted)

    def update_reachability(self) -> None:
        """Updates each daemon's members to what it can reach now.

        Stands in for the membership messages, which are not simulated; the
        fault injector adds their delay. Daemons that can be reached again raise
        their incarnation, as a refutation does.
        """
        unreachable = {
            (observer.name, observed.name)
            for observer in self.instances
            for observed in self.instances
            if not self.is_reachable(observer, observed)
        }
        for name in sorted(
            {observed for _, observed in self._unreachable - unreachable}
        ):
            self.find(name).refute()
        self._unreachable = unreachable
        for observer in self.instances:
            if not self.first_contact.has_no_contact(observer):
                for observed in self.instances:
                    observer.members.apply_update(
                        self._observe(observer, observed)
                    )
        for observer in self.instances:
            self._update_summaries(observer)

    def _update_summaries(
        self, observer: product_instance.ProductInstance
    ) -> None:
        """Updates a daemon's summaries of the other data centres."""
        for centre in self.environment.deployment.data_centres:
            source = next(
                (
                    candidate
                    for candidate in self.instances
                    if candidate.data_centre == centre
                    and self.is_reachable(observer, candidate)
                ),
                None,
            )
            if source is None:
                observer.members.remote.record_cut_off(
                    centre, clock.get_now_ms()
                )
            elif centre != observer.data_centre:
                summary = summaries.make_summary(source.members, known_digest=0)
                observer.members.remote.record_answer(summary)

    def is_reachable(
        self,
        observer: product_instance.ProductInstance,
        observed: product_instance.ProductInstance,
    ) -> bool:
        """Returns whether an instance can exchange messages with another."""
        if not observed.process.is_up:
            return False
        if observer is not observed and any(
            self.first_contact.has_no_contact(instance)
            for instance in (observer, observed)
        ):
            return False
        return not self.network.is_cut_off(
            observer.data_centre, observed.data_centre
        )

    def _observe(
        self,
        observer: product_instance.ProductInstance,
        observed: product_instance.ProductInstance,
    ) -> members.Member:
        """Returns the observed daemon as a member as the observer sees it."""
        if self.is_reachable(observer, observed):
            return observed.members.own
        return dataclasses.replace(
            observed.members.own, state=members.Dead(clock.get_now_ms())
        )
