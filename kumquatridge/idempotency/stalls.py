"""Detects recent stalls, periods in which this process did not run.

A request that is read right after a stall may have waited in the kernel's
buffers for as long as the stall lasted, so it is older than it appears.
"""

import asyncio
from typing import Protocol

from kumquatridge import background
from kumquatridge import clock

# Interval of the timer. A stall is recorded if the timer is late by more than
# one further interval.
TICK_INTERVAL_MS = 250.0
# A stall is reported for this long after its end.
STALL_MEMORY_MS = 2000.0


class StallSource(Protocol):
    """Reports the length of a recent stall of the process."""

    def get_stall_ms(self) -> float:
        """Returns the length of a stall that ended recently, or 0."""
        ...


class StallWatch(background.BackgroundOwner):
    """Measures stalls by the lateness of a timer while the context is open."""

    def __init__(self) -> None:
        self._ticked_ms = 0.0
        self._stall_ms = 0.0
        self._stall_ended_ms = float("-inf")

    def get_stall_ms(self) -> float:
        """Returns the length of a stall that ended recently, or 0."""
        self._measure()
        if clock.get_now_ms() - self._stall_ended_ms > STALL_MEMORY_MS:
            return 0.0
        return self._stall_ms

    async def _run(self) -> None:
        self._ticked_ms = clock.get_now_ms()
        while True:
            await asyncio.sleep(TICK_INTERVAL_MS / 1000.0)
            self._measure()
            self._ticked_ms = clock.get_now_ms()

    def _measure(self) -> None:
        """Records a stall if the timer is late by more than one interval.

        While an earlier stall is still reported, only a longer one replaces its
        length; either way the report is extended.
        """
        now_ms = clock.get_now_ms()
        late_ms = now_ms - self._ticked_ms - TICK_INTERVAL_MS
        if late_ms <= TICK_INTERVAL_MS:
            return
        if (
            now_ms - self._stall_ended_ms > STALL_MEMORY_MS
            or late_ms > self._stall_ms
        ):
            self._stall_ms = late_ms
        self._stall_ended_ms = now_ms
