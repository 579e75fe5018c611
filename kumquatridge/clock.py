"""The time of the running event loop, which tests may replace."""

import asyncio


def get_now_ms() -> float:
    """Returns the monotonic time of the running event loop."""
    return asyncio.get_running_loop().time() * 1000.0
