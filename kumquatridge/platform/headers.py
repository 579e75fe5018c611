"""HTTP headers of the platform's callers and workers."""

from kumquatridge.calls import outcomes
from kumquatridge.http import headers
from kumquatridge.transport import messages

REQUEST_ID = "request-id"
# Remaining time until the deadline, not a point in time.
REMAINING_MS = "deadline-ms"
# Signature that a worker sets on its answers.
SIGNATURE = "server-signature"
# Id of the worker that a request is meant for; any other worker answers 421.
WORKER_ID = "expected-instance"
# Worker id in answers to health checks and to misdirected requests.
ANSWERING_WORKER = "instance-id"
# Set on answers to health checks: "running,waiting,slots,service time"; decoded
# in `worker_link`.
LOAD = "server-load"
# Set by a worker that refused a request without running it.
NOT_RUN = "not-executed"
RETRY_AFTER = "retry-after"
CALLER_SERVICE = "caller-service"
HOST = "host"
CONNECTION = "connection"

# Headers of callers that the daemon replaces on requests to the worker.
_REPLACED_BY_DAEMON = frozenset((REMAINING_MS, WORKER_ID, CALLER_SERVICE))
# Used only between the daemon and its worker.
_WORKER_HOP_ONLY = frozenset((LOAD, WORKER_ID))


def filter_for_worker(pairs: outcomes.Headers) -> outcomes.Headers:
    """Returns the headers of a request to forward, `host` among them."""
    return _filter(pairs, _DROPPED_FROM_REQUESTS)


def filter_for_caller(pairs: outcomes.Headers) -> outcomes.Headers:
    """Returns the headers of a worker's answer to forward to the caller."""
    return _filter(pairs, _DROPPED_FROM_ANSWERS)


_DROPPED_FROM_REQUESTS = (headers.NOT_FORWARDED - {HOST}) | _REPLACED_BY_DAEMON
_DROPPED_FROM_ANSWERS = headers.NOT_FORWARDED | _WORKER_HOP_ONLY


def _filter(
    pairs: outcomes.Headers, dropped: frozenset[str]
) -> outcomes.Headers:
    """Drops headers that are not forwarded.

    These are the headers in `dropped`, those that `connection` lists, and
    the product's own, which start with `http.headers.OWN_PREFIX`. Names in
    `pairs` are in lower case.
    """
    connection_header = messages.find_header(pairs, CONNECTION)
    if connection_header is not None:
        hop_by_hop = {
            name.strip().lower() for name in connection_header.split(",")
        }
        dropped = dropped | hop_by_hop
    return tuple(
        [
            pair
            for pair in pairs
            if pair[0] not in dropped
            and not pair[0].startswith(headers.OWN_PREFIX)
        ]
    )
