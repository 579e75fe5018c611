"""Header names, and the headers that are forwarded.

`NOT_FORWARDED` holds the hop-by-hop headers of RFC 9110, section 7.6.1, and
those that each hop sets itself: host, content-length and expect.
"""

from collections.abc import Iterable

from kumquatridge.calls import outcomes

OWN_PREFIX = "kumquatridge-"
CALLER = "kumquatridge-caller"
CONTEXT = "kumquatridge-context"
TIMEOUT = "kumquatridge-timeout-ms"
OUTCOME = "kumquatridge-outcome"
REASON = "kumquatridge-reason"
REFUSAL = "kumquatridge-refusal"
DETAIL = "kumquatridge-detail"
UNSPENT_RETRIES = "kumquatridge-unspent-retries"
ROOT_ID = "kumquatridge-root-id"
REPORT = "kumquatridge-report"
CHAIN = "kumquatridge-chain"
WORKER_SHED = "kumquatridge-worker-shed"
CHILD_FAILED = "kumquatridge-child-failed"
WORKER_LOST = "kumquatridge-worker-lost"
HOME = "kumquatridge-home"
KEY_AGE = "kumquatridge-key-age-ms"
TRUE = "1"
PEER_PROOF = "kumquatridge-peer-proof"
IDEMPOTENCY_KEY = "idempotency-key"
RETRY_AFTER = "retry-after"
CONTENT_LENGTH = "content-length"

OUTCOME_COMPLETED = "completed"
OUTCOME_NOT_RUN = "not-run"
OUTCOME_FAILED = "failed"
OUTCOME_UNKNOWN = "unknown"

NOT_FORWARDED = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "expect",
    )
)


def keep_end_to_end(
    pairs: Iterable[tuple[str, str]],
) -> outcomes.Headers:
    """Drops hop-by-hop headers and those with the product's prefix."""
    return tuple(
        (name, value)
        for name, value in pairs
        if (lower := name.lower()) not in NOT_FORWARDED
        and not lower.startswith(OWN_PREFIX)
    )
