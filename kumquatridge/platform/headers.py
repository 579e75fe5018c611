"""The headers that callers and workers of the platform use."""

from kumquatridge.calls import outcomes
from kumquatridge.http import headers
from kumquatridge.transport import messages

REQUEST_ID = "request-id"
# How long the caller still waits, not a point in time.
REMAINING_MS = "deadline-ms"
# The worker's mark on its own answers.
SIGNATURE = "server-signature"
WORKER_ID = "expected-instance"
# The worker's id on answers to health checks and to misdirected requests.
ANSWERING_WORKER = "instance-id"
LOAD = "server-load"
NOT_RUN = "not-executed"
RETRY_AFTER = "retry-after"
CALLER_SERVICE = "caller-service"
HOST = "host"
CONNECTION = "connection"

_SET_HERE = frozenset((REMAINING_MS, WORKER_ID, CALLER_SERVICE))
_OF_THE_LEG = frozenset((LOAD, WORKER_ID))


def keep_for_worker(pairs: outcomes.Headers) -> outcomes.Headers:
    """Returns the headers of a request that travel on, the host among them."""
    return _keep(pairs, _DROPPED_TO_WORKER)


def keep_for_caller(pairs: outcomes.Headers) -> outcomes.Headers:
    """Returns the headers of a worker's answer that travel on."""
    return _keep(pairs, _DROPPED_TO_CALLER)


_DROPPED_TO_WORKER = (headers.HOP_BY_HOP - {HOST}) | _SET_HERE
_DROPPED_TO_CALLER = headers.HOP_BY_HOP | _OF_THE_LEG


def _keep(pairs: outcomes.Headers, dropped: frozenset[str]) -> outcomes.Headers:
    """Leaves out the headers of one leg; names are in lower case."""
    named = messages.find_header(pairs, CONNECTION)
    if named is not None:
        listed = {one.strip().lower() for one in named.split(",")}
        dropped = dropped | listed
    return tuple(
        [
            pair
            for pair in pairs
            if pair[0] not in dropped
            and not pair[0].startswith(headers.OWN_PREFIX)
        ]
    )
