"""Limits which suspect calls run concurrently at one worker.

A suspect is a call that was in progress when a worker crashed; a crash is
uncleared until the call is answered (see `crash_registry`). Suspects with one
uncleared crash run concurrently, up to a maximum, so that a hundred harmless
ones are cleared quickly. Suspects with two or more uncleared crashes run
without any other suspect, so that a further crash identifies the call that
causes it.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from kumquatridge.quarantine import crash_registry

MAX_CONCURRENT_SUSPECTS = 10
# Suspects with more uncleared crashes than this run exclusively.
MAX_CRASHES_TO_RUN_CONCURRENTLY = 1


class Isolation:
    """Admits suspect calls concurrently up to a maximum, or exclusively."""

    def __init__(self) -> None:
        self._suspect_slots = asyncio.Semaphore(MAX_CONCURRENT_SUSPECTS)
        self._exclusive_lock = asyncio.Lock()

    @contextlib.asynccontextmanager
    async def hold(
        self, suspect: crash_registry.Suspect
    ) -> AsyncIterator[None]:
        """Holds one suspect slot, or all of them, while the context is open."""
        async with contextlib.AsyncExitStack() as stack:
            if suspect.crash_count <= MAX_CRASHES_TO_RUN_CONCURRENTLY:
                await stack.enter_async_context(self._suspect_slots)
            else:
                # Prevents a deadlock of two calls that each hold some slots.
                await stack.enter_async_context(self._exclusive_lock)
                for _ in range(MAX_CONCURRENT_SUSPECTS):
                    await stack.enter_async_context(self._suspect_slots)
            yield
