"""Settings of the table of idempotency keys."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class KeySettings:
    """How long and how many keys a home remembers.

    `bare_key_max_age_ms` is how long a caller may resend a bare key;
    `transit_ms` is how long a request may be in transit between two processes,
    beyond what they can measure. `retention_ms` is how long a finished key, and
    the permission to run an issued key, is kept. A key younger than that is
    never dropped: above `max_keys`, new keys are refused. Answers up to
    `max_answer_bytes` are stored for resends, at most `max_stored_bytes` in
    all; the oldest are dropped first.
    """

    bare_key_max_age_ms: int = 60_000
    transit_ms: int = 10_000
    retention_ms: int = 180_000
    max_keys: int = 50_000
    max_answer_bytes: int = 64 * 1024
    max_stored_bytes: int = 8 * 1024 * 1024
