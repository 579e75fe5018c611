"""Settings of the at-most-once memory."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class KeySettings:
    """How long and how much a home remembers.

    `bare_key_max_age_ms` is how long a caller may go on resending a bare
    key; `transit_ms` is how long a request may be on its way between two
    processes, beyond what they can measure. `retention_ms` is how long a
    finished key, and an issued key's right to run, is kept. A key younger
    than that is never dropped: past `max_keys` new keys are refused. Answers
    up to `max_answer_bytes` are kept for resends, `max_kept_bytes` in all,
    the oldest dropped first.
    """

    bare_key_max_age_ms: int = 60_000
    transit_ms: int = 10_000
    retention_ms: int = 180_000
    max_keys: int = 50_000
    max_answer_bytes: int = 64 * 1024
    max_kept_bytes: int = 8 * 1024 * 1024
