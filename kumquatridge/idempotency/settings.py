"""Settings of idempotency keys."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class KeySettings:
    """Bounds on the keys that a home remembers and on the answers it stores.

    A bare key is made by the caller, an issued key by a daemon.
    `bare_key_max_age_ms` is how long after making a bare key the caller may
    resend it. `transit_ms` is how long a request may be in transit between two
    processes; it is added to the age of a key, since neither process can
    measure it. `retention_ms` is how long a key is kept after its call has
    ended. No key is dropped earlier: while there are `max_keys`, new ones are
    refused. An issued key that is older than `retention_ms` can no longer be
    used to run a call. Answers up to `max_answer_bytes` are stored for resends,
    at most `max_stored_bytes` in all; the oldest are dropped first.
    """

    bare_key_max_age_ms: int = 60_000
    transit_ms: int = 10_000
    retention_ms: int = 180_000
    max_keys: int = 50_000
    max_answer_bytes: int = 64 * 1024
    max_stored_bytes: int = 8 * 1024 * 1024
