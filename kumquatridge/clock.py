"""Monotonic time of the running event loop.

Tests replace the loop by one in virtual time.
"""

import asyncio


def get_now_ms() -> float:
    """Returns the monotonic time of the running event loop in milliseconds."""
    return asyncio.get_running_loop().time() * 1000.0
