"""The virtual time of a run; a scenario's own time begins at 0.

The loop's time starts below 0, so that a fleet has been up for a while when
the first request arrives.
"""

import asyncio

import looptime

from kumquatridge import clock

SETTLE_S = 90.0
CLOCK_RESOLUTION_S = 1e-4
IDLE_CYCLES = 1


def make_loop() -> asyncio.AbstractEventLoop:
    """Returns an event loop that skips the time in which nothing happens."""
    loop: asyncio.AbstractEventLoop = looptime.new_event_loop(
        start=-SETTLE_S,
        resolution=CLOCK_RESOLUTION_S,
        noop_cycles=IDLE_CYCLES,
    )
    return loop


async def sleep_until(at_ms: float) -> None:
    """Sleeps until a time of the scenario."""
    await asyncio.sleep((at_ms - clock.get_now_ms()) / 1000.0)
