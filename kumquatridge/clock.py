"""Monotonic time of the running event loop.

Tests and the bench run in a loop whose time is virtual.
"""

import asyncio


def get_now_ms() -> float:
    """Returns the monotonic time of the running event loop in milliseconds.

    Only differences have a meaning: where the time starts depends on the loop.
    """
    return asyncio.get_running_loop().time() * 1000.0
