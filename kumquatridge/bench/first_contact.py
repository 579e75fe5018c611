"""How a daemon that starts finds the others of its data centre.

The daemons have no seeds in their settings. One that starts is found by
those that still remember it; where nobody does, it asks the platform.
"""

import asyncio
from typing import TYPE_CHECKING

from kumquatridge.membership import bootstrap

if TYPE_CHECKING:
    from kumquatridge.bench import product_instance

ASK_S = bootstrap.BootstrapSettings().interval_ms / 1000.0


class FakePlatform:
    """Keeps the addresses of the fleet's daemons while it is up."""

    def __init__(self) -> None:
        self.is_up = True

    def lose(self) -> None:
        """Makes the platform silent."""
        self.is_up = False

    def mend(self) -> None:
        """Lets the platform answer again."""
        self.is_up = True


class FirstContact:
    """Which daemons have met no other since they started."""

    def __init__(self, platform: FakePlatform) -> None:
        self._platform = platform
        self._alone: set[str] = set()

    def forget(self, instance: "product_instance.ProductInstance") -> None:
        """Takes note of a daemon that has lost its memory."""
        self._alone.add(instance.name)

    def is_alone(self, instance: "product_instance.ProductInstance") -> bool:
        """Tells whether a daemon has met no other."""
        return instance.name in self._alone

    async def find_others(
        self, instance: "product_instance.ProductInstance"
    ) -> None:
        """Returns once a daemon and its data centre know each other."""
        near = [
            one
            for one in instance.fleet.instances
            if one.data_centre == instance.data_centre
        ]
        while self.is_alone(instance):
            if self._platform.is_up or any(map(self._remembers, near)):
                self._alone.difference_update(one.name for one in near)
                return
            await asyncio.sleep(ASK_S)

    def _remembers(self, other: "product_instance.ProductInstance") -> bool:
        """Tells whether a daemon is up that knows its data centre."""
        return other.process.is_up and not self.is_alone(other)
