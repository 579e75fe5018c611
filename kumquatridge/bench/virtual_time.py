"""Virtual time of a run; a scenario starts at 0.

The loop's time starts at -WARM_UP_S, so that the fleet has been up for that
long when the first request arrives.
"""

import asyncio

import looptime

from kumquatridge import clock

WARM_UP_S = 90.0
CLOCK_RESOLUTION_S = 1e-4
# Loop cycles that looptime runs without work before it skips idle time.
NOOP_CYCLES = 1


def make_loop() -> asyncio.AbstractEventLoop:
    """Returns an event loop that skips idle time."""
    loop: asyncio.AbstractEventLoop = looptime.new_event_loop(
        start=-WARM_UP_S,
        resolution=CLOCK_RESOLUTION_S,
        noop_cycles=NOOP_CYCLES,
    )
    return loop


async def sleep_until(at_ms: float) -> None:
    """Sleeps until a time of the scenario, in ms."""
    await asyncio.sleep((at_ms - clock.get_now_ms()) / 1000.0)
