"""Rates an instance, and compares a local instance with a remote one."""

from kumquatridge.routing import instances

SLOW_RATIO = 2.5
SPILL_GAIN_RATIO = 0.2
# From this fraction of failed calls on, other instances are considered too.
FAILING_RATIO = 0.2


def is_full(stats: instances.InstanceStats, now_ms: float) -> bool:
    """Returns whether the instance has no free slot."""
    return stats.get_load_ratio(now_ms) >= 1.0


def is_suitable(stats: instances.InstanceStats, now_ms: float) -> bool:
    """Returns whether the instance is fast, healthy and has a free slot."""
    is_slow = stats.get_slowness_ratio(now_ms) >= SLOW_RATIO
    is_failing = stats.get_failure_ratio(now_ms) >= FAILING_RATIO
    return not is_slow and not is_failing and not is_full(stats, now_ms)


def should_spill(
    local: instances.InstanceStats,
    remote: instances.InstanceStats,
    now_ms: float,
) -> bool:
    """Returns whether a remote instance is clearly better than a local one.

    It is if it fails fewer calls by `FAILING_RATIO` or is faster by the factor
    `SLOW_RATIO`, and in both cases has a free slot, or if its load is lower by
    `SPILL_GAIN_RATIO`.
    """
    excess_failure_ratio = local.get_failure_ratio(
        now_ms
    ) - remote.get_failure_ratio(now_ms)
    if excess_failure_ratio >= FAILING_RATIO:
        return not is_full(remote, now_ms)
    local_slowness_ratio = local.get_slowness_ratio(now_ms)
    remote_slowness_ratio = remote.get_slowness_ratio(now_ms)
    if local_slowness_ratio >= SLOW_RATIO * remote_slowness_ratio:
        return not is_full(remote, now_ms)
    load_gain_ratio = local.get_load_ratio(now_ms) - remote.get_load_ratio(
        now_ms
    )
    return load_gain_ratio >= SPILL_GAIN_RATIO
