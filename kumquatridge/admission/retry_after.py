"""When a caller that was turned away should come back.

Load pattern: the crest of a wave, or a burst, turns many callers away at the
same time. Were all told the same moment, they would return as one wave; so the
moments are spread, over later times for calls of lower importance, which
stand no chance while more important ones return. Callers wait for at most a
third of the time that they have left, so that the last moment lies there.
"""

import random

from kumquatridge.calls import importance as call_importance

# The part of its remaining time for which a caller is ready to wait.
PATIENCE_RATIO = 1.0 / 3.0
# Parts of that time between which the moments are spread.
_SPREADS: dict[call_importance.Importance, tuple[float, float]] = {
    call_importance.Importance.CRITICAL: (0.1, 0.5),
    call_importance.Importance.NORMAL: (0.3, 0.8),
    call_importance.Importance.SHEDDABLE: (0.5, 1.0),
    call_importance.Importance.BACKGROUND: (0.7, 1.0),
}


def choose_retry_after_ms(
    importance: call_importance.Importance,
    remaining_ms: float,
    source: random.Random,
) -> int:
    """Returns for how long a caller should wait before it asks again.

    `remaining_ms` is what the caller has left of its own deadline.
    """
    patience_ms = max(0.0, remaining_ms) * PATIENCE_RATIO
    first, last = _SPREADS[importance]
    return int(patience_ms * source.uniform(first, last))
