"""Limits which suspect calls run concurrently at one worker.

A suspect is a call with the same fingerprint as one that was in progress when a
worker crashed. The crash is uncleared until a call with that fingerprint is
answered (see `crash_registry`). Suspects with one uncleared crash run
concurrently, up to a maximum, so that a hundred harmless ones are cleared
quickly. Suspects with two or more uncleared crashes run without any other
suspect, so that a further crash identifies the call that causes it.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from kumquatridge.quarantine import crash_registry

MAX_CONCURRENT_SUSPECTS = 10
# A suspect with more uncleared crashes runs without any other suspect.
MAX_CRASHES_OF_CONCURRENT_SUSPECT = 1


class Isolation:
    """Runs suspects concurrently up to a maximum, or one without any other."""

    def __init__(self) -> None:
        self._permits = asyncio.Semaphore(MAX_CONCURRENT_SUSPECTS)
        self._exclusive_lock = asyncio.Lock()

    @contextlib.asynccontextmanager
    async def hold(
        self, suspect: crash_registry.Suspect
    ) -> AsyncIterator[None]:
        """Waits until a suspect may run, and holds its permits while open.

        These are one of `MAX_CONCURRENT_SUSPECTS` permits, or all of them if no
        other suspect may run meanwhile.
        """
        async with contextlib.AsyncExitStack() as stack:
            if suspect.crash_count <= MAX_CRASHES_OF_CONCURRENT_SUSPECT:
                await stack.enter_async_context(self._permits)
            else:
                # Prevents a deadlock of two calls that each hold some permits.
                await stack.enter_async_context(self._exclusive_lock)
                for _ in range(MAX_CONCURRENT_SUSPECTS):
                    await stack.enter_async_context(self._permits)
            yield
