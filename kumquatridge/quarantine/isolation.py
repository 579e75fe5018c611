"""Keeps suspects apart from each other at one worker.

Calls seen at one crash run in small groups, so that a hundred innocent ones
are cleared soon. Calls seen at two run with no other suspect beside them, so
that a third crash points at one call.
"""

import asyncio
from collections.abc import AsyncIterator
import contextlib

from kumquatridge.quarantine import register as crash_register

GROUP_SIZE = 10
GROUP_CRASHES = 1


class Isolation:
    """The places in which suspects run."""

    def __init__(self) -> None:
        self._places = asyncio.Semaphore(GROUP_SIZE)
        self._alone = asyncio.Lock()

    @contextlib.asynccontextmanager
    async def hold(
        self, suspect: crash_register.Suspect
    ) -> AsyncIterator[None]:
        """Holds the places that a suspect needs while the context is open."""
        async with contextlib.AsyncExitStack() as stack:
            if suspect.crashes <= GROUP_CRASHES:
                await stack.enter_async_context(self._places)
            else:
                await stack.enter_async_context(self._alone)
                for _ in range(GROUP_SIZE):
                    await stack.enter_async_context(self._places)
            yield
