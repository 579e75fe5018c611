"""Wakes every task that waits for a change."""

import asyncio


class ChangeNotifier:
    """Wakes all waiting tasks at each change."""

    def __init__(self) -> None:
        self._next_change = asyncio.Event()

    def notify(self) -> None:
        """Wakes the tasks that are waiting now."""
        self._next_change.set()
        self._next_change = asyncio.Event()

    async def wait(self) -> None:
        """Waits for the next change."""
        await self._next_change.wait()
