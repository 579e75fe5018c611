"""First contact of a restarted daemon with the others of its data centre.

The daemons have no seeds in their settings. A restarted daemon is contacted by
running daemons that still have it as a member; if there are none, it gets the
addresses from the platform. It queries the platform in either case, since only
the answer tells which daemons it must have contacted before first contact is
over.
"""

import asyncio
from typing import TYPE_CHECKING

from kumquatridge.membership import bootstrap
from kumquatridge.membership import first_contact as contacts

if TYPE_CHECKING:
    from kumquatridge.bench import product_instance

# Time between two tries of a restarted daemon to get contact.
QUERY_INTERVAL_S = bootstrap.BootstrapSettings().interval_ms / 1000.0


class FakePlatform:
    """Stand-in for the platform's directory of the fleet's daemons."""

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

    def take_down(self) -> None:
        """Makes the platform stop answering."""
        self._up.clear()

    def restore(self) -> None:
        """Makes the platform answer again."""
        self._up.set()


class FirstContact:
    """Tracks the first contact of daemons that restarted."""

    def __init__(self, platform: FakePlatform) -> None:
        self._platform = platform
        self._without_contact: set[str] = set()
        self._awaiting_platform: set[str] = set()

    def record_restart(
        self, instance: "product_instance.ProductInstance"
    ) -> None:
        """Records that a daemon lost its state and with it all contacts."""
        self._without_contact.add(instance.name)
        self._awaiting_platform.add(instance.name)

    def has_no_contact(
        self, instance: "product_instance.ProductInstance"
    ) -> bool:
        """Returns whether a daemon has had no contact since its restart."""
        return instance.name in self._without_contact

    async def rejoin(
        self, instance: "product_instance.ProductInstance"
    ) -> None:
        """Returns once a daemon has contact with its data centre.

        Tries again every QUERY_INTERVAL_S.
        """
        while True:
            if self._try_join(instance):
                return
            await asyncio.sleep(QUERY_INTERVAL_S)

    async def query_platform(
        self, instance: "product_instance.ProductInstance"
    ) -> None:
        """Returns once the platform has answered a daemon's query."""
        await self._platform.wait_until_up()
        self._awaiting_platform.discard(instance.name)

    def _try_join(self, instance: "product_instance.ProductInstance") -> bool:
        """Tries to give a daemon contact; returns whether it has contact now.

        It succeeds if the platform answers or a neighbour has contact, and then
        gives contact to all daemons of the data centre.
        """
        neighbours = _find_neighbours(instance)
        if self._platform.is_up or any(map(self._can_introduce, neighbours)):
            self._without_contact.difference_update(
                neighbour.name for neighbour in neighbours
            )
        return not self.has_no_contact(instance)

    def get_contacts(
        self, instance: "product_instance.ProductInstance"
    ) -> contacts.PlatformContacts:
        """Returns the contacts that the platform has sent to a daemon.

        Their addresses are None until it has answered the daemon's query.
        """
        if instance.name in self._awaiting_platform:
            return contacts.PlatformContacts(None)
        return contacts.PlatformContacts(
            frozenset(
                neighbour.members.own.control_address
                for neighbour in _find_neighbours(instance)
            )
        )

    def _can_introduce(
        self, neighbour: "product_instance.ProductInstance"
    ) -> bool:
        """Returns whether a daemon is up and itself has contact."""
        return neighbour.process.is_up and not self.has_no_contact(neighbour)


def _find_neighbours(
    instance: "product_instance.ProductInstance",
) -> list["product_instance.ProductInstance"]:
    """Returns all instances of an instance's data centre, also itself."""
    return [
        other
        for other in instance.fleet.instances
        if other.data_centre == instance.data_centre
    ]
