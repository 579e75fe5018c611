"""Wakes every task that waits for something to change."""

import asyncio


class Broadcast:
    """Wakes all waiting tasks at each change."""

    def __init__(self) -> None:
        self._event = asyncio.Event()

    def notify(self) -> None:
        """Wakes the tasks that wait now."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self) -> None:
        """Waits for the next change."""
        await self._event.wait()
