"""Header names, and the headers that are forwarded.

`NOT_FORWARDED` holds the hop-by-hop headers of RFC 9110, section 7.6.1, and
those that each hop sets itself: host, content-length and expect.
"""

from collections.abc import Iterable

from kumquatridge.calls import outcomes

OWN_PREFIX = "kumquatridge-"
# Name of the caller, in its own requests and between daemons.
CALLER = "kumquatridge-caller"
# Token of the call that a worker runs; the worker copies it to child calls.
CONTEXT = "kumquatridge-context"
# Remaining time of a call, or the time-out that the caller asks for.
TIMEOUT = "kumquatridge-timeout-ms"
# Set on answers, with a value from `OUTCOME_COMPLETED` to `OUTCOME_UNKNOWN`.
OUTCOME = "kumquatridge-outcome"
# Set on answers to refused calls: the reason code, and the fields as JSON.
REASON = "kumquatridge-reason"
REFUSAL = "kumquatridge-refusal"
# Describes why a call failed or why its outcome is unknown.
DETAIL = "kumquatridge-detail"
# Part of the retry allowance of a call that was not used.
UNSPENT_RETRIES = "kumquatridge-unspent-retries"
# Id of the root call, by which operators look up the decisions on a call.
ROOT_ID = "kumquatridge-root-id"
# Load of the answering instance.
REPORT = "kumquatridge-report"
# Values that a call inherits from its root; see `chain.context.ChainContext`.
CHAIN = "kumquatridge-chain"
# Flags on answers; see `outcomes.Completed` and, for `WORKER_LOST`,
# `outcomes.Unknown`.
WORKER_SHED = "kumquatridge-worker-shed"
CHILD_FAILED = "kumquatridge-child-failed"
WORKER_LOST = "kumquatridge-worker-lost"
# Flag on calls sent to the home of their idempotency key.
HOME = "kumquatridge-home"
# Time since the caller made the idempotency key.
KEY_AGE = "kumquatridge-key-age-ms"
# Value of the flags.
TRUE = "1"
# Authenticates a message between daemons; see `call_credential`.
PEER_PROOF = "kumquatridge-peer-proof"
IDEMPOTENCY_KEY = "idempotency-key"
RETRY_AFTER = "retry-after"
CONTENT_LENGTH = "content-length"
TRANSFER_ENCODING = "transfer-encoding"

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
