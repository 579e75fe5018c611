"""How long this process may have been paused just now.

What is read right after a pause may have waited in the kernel's buffers for
as long as the pause lasted, so a request is older than it looks.
"""

import asyncio
from typing import Protocol

from kumquatridge import background
from kumquatridge import clock

TICK_MS = 250.0
RECENT_MS = 2000.0


class StallSource(Protocol):
    """Tells how old a request read now may be."""

    def get_lost_ms(self) -> float:
        """Returns the length of a pause that ended just now, or 0."""
        ...


class StallWatch(background.BackgroundOwner):
    """Measures the lateness of a timer while its context is open."""

    def __init__(self) -> None:
        self._ticked_ms = 0.0
        self._lost_ms = 0.0
        self._lost_at_ms = float("-inf")

    def get_lost_ms(self) -> float:
        """Returns the length of a pause that ended just now, or 0."""
        self._note()
        if clock.get_now_ms() - self._lost_at_ms > RECENT_MS:
            return 0.0
        return self._lost_ms

    async def _run(self) -> None:
        self._ticked_ms = clock.get_now_ms()
        while True:
            await asyncio.sleep(TICK_MS / 1000.0)
            self._note()
            self._ticked_ms = clock.get_now_ms()

    def _note(self) -> None:
        now_ms = clock.get_now_ms()
        late_ms = now_ms - self._ticked_ms - TICK_MS
        if late_ms <= TICK_MS:
            return
        if now_ms - self._lost_at_ms > RECENT_MS or late_ms > self._lost_ms:
            self._lost_ms = late_ms
        self._lost_at_ms = now_ms
