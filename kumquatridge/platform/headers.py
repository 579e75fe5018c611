"""The headers that callers and workers of the platform use."""

from collections.abc import Iterable

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
    """Returns the headers of a request that travel on, with the host."""
    kept = [
        (name, value)
        for name, value in _keep_end_to_end(pairs)
        if name.lower() not in _SET_HERE
    ]
    host = messages.find_header(pairs, HOST)
    if host is not None:
        kept.insert(0, ("Host", host))
    return tuple(kept)


def keep_for_caller(pairs: outcomes.Headers) -> outcomes.Headers:
    """Returns the headers of a worker's answer that travel on."""
    return tuple(
        (name, value)
        for name, value in _keep_end_to_end(pairs)
        if name.lower() not in _OF_THE_LEG
    )


def _keep_end_to_end(pairs: outcomes.Headers) -> Iterable[tuple[str, str]]:
    named = messages.find_header(pairs, CONNECTION)
    kept = headers.keep_end_to_end(pairs)
    if named is None:
        return kept
    dropped = {one.strip().lower() for one in named.split(",")}
    return (one for one in kept if one[0].lower() not in dropped)
