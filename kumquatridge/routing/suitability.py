"""Decides whether a local instance is used or a call spills.

A call spills if it goes to a remote instance, that is, one in another data
centre.
"""

from kumquatridge.routing import instances

# A local instance with at least this slowness ratio is not suitable. A call
# spills if the slowness ratio of the local instance is at least this multiple
# of that of the remote one.
SLOW_RATIO = 2.5
# A call spills because of load only if the remote load ratio is lower by this.
SPILL_GAIN_RATIO = 0.2
# A local instance with at least this failure ratio is not suitable. A call
# spills if the failure ratio of the remote instance is lower by at least this.
FAILING_RATIO = 0.2


def is_full(stats: instances.InstanceStats, now_ms: float) -> bool:
    """Returns whether the instance has no free slot."""
    return stats.get_load_ratio(now_ms) >= 1.0


def is_suitable(stats: instances.InstanceStats, now_ms: float) -> bool:
    """Returns whether an instance is not slow, not failing and not full.

    A local instance that is not suitable is compared with a remote one.
    """
    is_slow = stats.get_slowness_ratio(now_ms) >= SLOW_RATIO
    is_failing = stats.get_failure_ratio(now_ms) >= FAILING_RATIO
    return not is_slow and not is_failing and not is_full(stats, now_ms)


def should_spill(
    local: instances.InstanceStats,
    remote: instances.InstanceStats,
    now_ms: float,
) -> bool:
    """Returns whether a remote instance is clearly better than a local one.

    A remote instance with a free slot is better if its failure ratio is lower
    by `FAILING_RATIO`, or its slowness ratio by the factor `SLOW_RATIO`.
    Without such a difference, its load ratio must be lower by
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
