"""Whether an instance is a good place for a call, beside another one."""

from kumquatridge.routing import instances

SLOW_RATIO = 2.5
SPILL_GAIN_RATIO = 0.2
# An instance that fails more of its calls isn't fit while others may be.
FAILING_RATIO = 0.2


def is_full(stats: instances.InstanceStats, now_ms: float) -> bool:
    """Tells whether an instance has no free slot."""
    return stats.get_load_ratio(now_ms) >= 1.0


def is_fit(stats: instances.InstanceStats, now_ms: float) -> bool:
    """Tells whether an instance has a free slot, is quick and sound."""
    is_slow = stats.get_slowness_ratio(now_ms) >= SLOW_RATIO
    fails = stats.get_failure_ratio(now_ms) >= FAILING_RATIO
    return not is_slow and not fails and not is_full(stats, now_ms)


def gains(
    near: instances.InstanceStats,
    far: instances.InstanceStats,
    now_ms: float,
) -> bool:
    """Tells whether an instance elsewhere is clearly emptier or quicker."""
    failing_ratio = near.get_failure_ratio(now_ms) - far.get_failure_ratio(
        now_ms
    )
    if failing_ratio >= FAILING_RATIO:
        return not is_full(far, now_ms)
    near_slowness_ratio = near.get_slowness_ratio(now_ms)
    far_slowness_ratio = far.get_slowness_ratio(now_ms)
    if near_slowness_ratio >= SLOW_RATIO * far_slowness_ratio:
        return not is_full(far, now_ms)
    gained_ratio = near.get_load_ratio(now_ms) - far.get_load_ratio(now_ms)
    return gained_ratio >= SPILL_GAIN_RATIO
