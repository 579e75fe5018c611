"""Waiting for a condition in a measurement."""

import asyncio
from collections.abc import Callable


async def wait_until(condition: Callable[[], bool], poll_s: float) -> None:
    """Waits until a condition holds; a caller may set a time limit."""
    while True:
        if condition():
            return
        await asyncio.sleep(poll_s)
