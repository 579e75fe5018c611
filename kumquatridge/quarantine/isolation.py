"""Limits which suspect calls run concurrently at one worker.

Suspects of one crash run in small groups, so that a hundred harmless ones are
cleared quickly. Suspects of two crashes run without any other suspect, so that
a third crash identifies the call that causes it.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from kumquatridge.quarantine import crash_registry

MAX_GROUP_SUSPECTS = 10
# Suspects of more crashes than this run exclusively.
MAX_GROUPED_SUSPECT_CRASHES = 1


class Isolation:
    """Grants suspect calls a place in a group or exclusive execution."""

    def __init__(self) -> None:
        self._group_slots = asyncio.Semaphore(MAX_GROUP_SUSPECTS)
        self._exclusive_lock = asyncio.Lock()

    @contextlib.asynccontextmanager
    async def hold(
        self, suspect: crash_registry.Suspect
    ) -> AsyncIterator[None]:
        """Holds one group slot, or all of them, while the context is open."""
        async with contextlib.AsyncExitStack() as stack:
            if suspect.crashes <= MAX_GROUPED_SUSPECT_CRASHES:
                await stack.enter_async_context(self._group_slots)
            else:
                # Prevents a deadlock of two calls that each hold some slots.
                await stack.enter_async_context(self._exclusive_lock)
                for _ in range(MAX_GROUP_SUSPECTS):
                    await stack.enter_async_context(self._group_slots)
            yield
