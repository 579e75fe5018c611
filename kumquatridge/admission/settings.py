"""Settings of admission at one worker."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Shares of the slots and bounds of the queue.

    `kept_ratio` is the largest part of the slots that is kept for calls
    deeper in a chain; 0 keeps none. `long_min_ratio` is the part that long
    calls may always use and `long_max_ratio` the part that they never
    exceed. `overload_wait_ms` bounds the wait of roots below CRITICAL while
    the queue never runs empty. With `refuses_on_expected_wait`, a call that
    would wait in vain behind others is refused at once.
    """

    kept_ratio: float = 0.25
    long_min_ratio: float = 0.25
    long_max_ratio: float = 0.75
    overload_wait_ms: float = 100.0
    retry_after_ms: int = 1000
    refuses_on_expected_wait: bool = False
