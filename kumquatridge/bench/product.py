"""The product's fleet: its instances and what they know of each other."""

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
    """The instances of a deployment, each with a daemon of its own."""

    def __init__(self, environment: fleets.Environment) -> None:
        self.environment = environment
        self.network = environment.network
        self.platform = first_contact.FakePlatform()
        self.first_contact = first_contact.FirstContact(self.platform)
        self.instances = tuple(
            product_instance.ProductInstance(self, place)
            for place in placement.iter_places(environment.deployment)
        )
        self._unreachable: set[tuple[str, str]] = set()
        self._by_name = {one.name: one for one in self.instances}
        self.note_reachability()

    async def __aenter__(self) -> Self:
        """Starts the updates between the daemons."""
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

    async def find_others(self, instance: fleets.Instance) -> None:
        """Returns once a restarted daemon has all first contacts."""
        found = self.find(instance.worker.name)
        await self.first_contact.find_others(found)
        self.note_reachability()
        await self.first_contact.ask_platform(found)

    def note_reachability(self) -> None:
        """Lets each daemon know which others it can reach now.

        Stands in for the membership messages, whose delay the scenario's
        faults add.
        """
        unreachable = {
            (observer.name, seen.name)
            for observer in self.instances
            for seen in self.instances
            if not self.is_reachable(observer, seen)
        }
        for name in sorted(
            {seen for _, seen in self._unreachable - unreachable}
        ):
            self.find(name).refute()
        self._unreachable = unreachable
        for observer in self.instances:
            if not self.first_contact.is_alone(observer):
                for seen in self.instances:
                    observer.members.learn(self._observe(observer, seen))
        for observer in self.instances:
            self._summarise_others(observer)

    def _summarise_others(
        self, observer: product_instance.ProductInstance
    ) -> None:
        """Tells a daemon the summaries of the other data centres."""
        for centre in self.environment.deployment.data_centres:
            teller = next(
                (
                    one
                    for one in self.instances
                    if one.data_centre == centre
                    and self.is_reachable(observer, one)
                ),
                None,
            )
            if teller is None:
                observer.members.remote.record_silence(
                    centre, clock.get_now_ms()
                )
            elif centre != observer.data_centre:
                summary = summaries.make_summary(teller.members, known=0)
                observer.members.remote.record_answer(summary)

    def is_reachable(
        self,
        observer: product_instance.ProductInstance,
        seen: product_instance.ProductInstance,
    ) -> bool:
        """Tells whether messages pass between two instances."""
        if not seen.process.is_up:
            return False
        if observer is not seen and any(
            self.first_contact.is_alone(one) for one in (observer, seen)
        ):
            return False
        return not self.network.is_cut(observer.data_centre, seen.data_centre)

    def _observe(
        self,
        observer: product_instance.ProductInstance,
        seen: product_instance.ProductInstance,
    ) -> members.Member:
        if self.is_reachable(observer, seen):
            return seen.members.own
        return dataclasses.replace(
            seen.members.own, state=members.Dead(clock.get_now_ms())
        )
