"""Waits for conditions in measurements."""

import asyncio
from collections.abc import Callable


async def wait_until(
    condition: Callable[[], bool], poll_interval_s: float
) -> None:
    """Polls until a condition holds, without a time limit of its own."""
    while True:
        if condition():
            return
        await asyncio.sleep(poll_interval_s)
