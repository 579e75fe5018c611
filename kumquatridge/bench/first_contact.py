"""How a daemon that starts finds the others of its data centre.

The daemons have no seeds in their settings. One that starts is found by
those that still remember it; where nobody does, it asks the platform. It asks
in either case, because only then does it know whom it has to know.
"""

import asyncio
from typing import TYPE_CHECKING

from kumquatridge.membership import bootstrap
from kumquatridge.membership import first_contact as contacts

if TYPE_CHECKING:
    from kumquatridge.bench import product_instance

ASK_S = bootstrap.BootstrapSettings().interval_ms / 1000.0


class FakePlatform:
    """Keeps the addresses of the fleet's daemons while it is up."""

    def __init__(self) -> None:
        self._up = asyncio.Event()
        self._up.set()

    @property
    def is_up(self) -> bool:
        """Whether the platform answers."""
        return self._up.is_set()

    async def wait_until_up(self) -> None:
        """Waits until the platform answers."""
        await self._up.wait()

    def lose(self) -> None:
        """Makes the platform silent."""
        self._up.clear()

    def mend(self) -> None:
        """Lets the platform answer again."""
        self._up.set()


class FirstContact:
    """Which daemons have met no other since they started."""

    def __init__(self, platform: FakePlatform) -> None:
        self._platform = platform
        self._alone: set[str] = set()
        self._unanswered: set[str] = set()

    def forget(self, instance: "product_instance.ProductInstance") -> None:
        """Takes note of a daemon that has lost its memory."""
        self._alone.add(instance.name)
        self._unanswered.add(instance.name)

    def is_alone(self, instance: "product_instance.ProductInstance") -> bool:
        """Tells whether a daemon has met no other."""
        return instance.name in self._alone

    async def find_others(
        self, instance: "product_instance.ProductInstance"
    ) -> None:
        """Returns once a daemon and its data centre know each other."""
        while True:
            if self._find_some(instance):
                return
            await asyncio.sleep(ASK_S)

    async def ask_platform(
        self, instance: "product_instance.ProductInstance"
    ) -> None:
        """Returns once the platform has answered a daemon."""
        await self._platform.wait_until_up()
        self._unanswered.discard(instance.name)

    def _find_some(self, instance: "product_instance.ProductInstance") -> bool:
        near = _find_near(instance)
        if self._platform.is_up or any(map(self._remembers, near)):
            self._alone.difference_update(one.name for one in near)
        return not self.is_alone(instance)

    def get_contacts(
        self, instance: "product_instance.ProductInstance"
    ) -> contacts.PlatformContacts:
        """Returns what the platform has answered a daemon."""
        if instance.name in self._unanswered:
            return contacts.PlatformContacts(None)
        return contacts.PlatformContacts(
            frozenset(
                one.members.own.control_address for one in _find_near(instance)
            )
        )

    def _remembers(self, other: "product_instance.ProductInstance") -> bool:
        """Tells whether a daemon is up that knows its data centre."""
        return other.process.is_up and not self.is_alone(other)


def _find_near(
    instance: "product_instance.ProductInstance",
) -> list["product_instance.ProductInstance"]:
    return [
        one
        for one in instance.fleet.instances
        if one.data_centre == instance.data_centre
    ]
