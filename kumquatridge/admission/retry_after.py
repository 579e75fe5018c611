"""Retry-after times for refused callers, with jitter.

A burst or a load peak causes many refusals at the same time. With one fixed
delay all of these callers would retry at once, so the delays are jittered.
Calls of lower importance get longer delays, since they would be refused while
more important ones retry. Callers wait for at most a third of their remaining
time, which therefore bounds the delay.
"""

import random

from kumquatridge.calls import importance as call_importance

# Largest share of its remaining time for which a caller waits.
MAX_WAIT_RATIO = 1.0 / 3.0
# Bounds of the delay by importance, as shares of that maximum.
_WAIT_RANGES: dict[call_importance.Importance, tuple[float, float]] = {
    call_importance.Importance.CRITICAL: (0.1, 0.5),
    call_importance.Importance.NORMAL: (0.3, 0.8),
    call_importance.Importance.SHEDDABLE: (0.5, 1.0),
    call_importance.Importance.BACKGROUND: (0.7, 1.0),
}


def choose_retry_after_ms(
    importance: call_importance.Importance,
    remaining_ms: float,
    rng: random.Random,
) -> int:
    """Returns the delay in milliseconds after which a caller may retry.

    `remaining_ms` is the time until the caller's own deadline.
    """
    max_wait_ms = max(0.0, remaining_ms) * MAX_WAIT_RATIO
    min_ratio, max_ratio = _WAIT_RANGES[importance]
    return int(max_wait_ms * rng.uniform(min_ratio, max_ratio))
