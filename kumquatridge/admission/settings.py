"""Settings of admission at one worker."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Shares of the slots and bounds of the queue.

    `reserved_ratio` is the largest share of the slots reserved for calls
    deeper in a chain (see `shares`); 0 reserves none. Long-running calls below
    CRITICAL may always use `min_long_running_ratio` of the slots and never more
    than `max_long_running_ratio`. `overload_wait_ms` bounds the wait of roots
    below CRITICAL while there is a standing queue (see `level_control`).
    Refused callers are told to retry after `retry_after_ms`. With
    `refuses_on_expected_wait`, a call below CRITICAL whose expected wait
    exceeds its bound is refused at once.
    """

    reserved_ratio: float = 0.25
    min_long_running_ratio: float = 0.25
    max_long_running_ratio: float = 0.75
    overload_wait_ms: float = 100.0
    retry_after_ms: int = 1000
    refuses_on_expected_wait: bool = False
