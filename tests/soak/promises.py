"""Promises to callers and workers, checked against what these saw."""

import collections
from collections.abc import Iterable, Iterator
import dataclasses

from tests.platform import faulty_worker

# A worker gets no request sent later than this after its departure was
# acknowledged.
DRAIN_S = 2.0
# A changed route is in force this long after the change at the latest, or after
# the last disruption.
APPLY_S = 3.0
# An older route doesn't come back at a daemon, later than this after the newer
# one was seen there.
ROLLBACK_S = 0.25
# Share of the requests of the calm time that are served.
SERVED_RATIO = 0.9
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
STATUS_OK = 200
# Stands for an answer that did not arrive, or not whole.
NO_ANSWER = 0
BUY_PATH = "/buy/"
MOVED_PATH = "/moved/"
OLD_SERVICE, NEW_SERVICE = "shop", "stock"


@dataclasses.dataclass(frozen=True)
class Sent:
    """A request and its answer, as its caller saw them.

    `process` names the process of the daemon that got it. `gave_up` tells that
    the caller waited until its deadline.
    """

    request_id: str
    path: str
    process: str
    sent_s: float
    status: int
    signature: str
    body: bytes
    gave_up: bool = False


@dataclasses.dataclass(frozen=True)
class Departure:
    """The departure of a worker was acknowledged."""

    worker: str
    acknowledged_s: float


@dataclasses.dataclass(frozen=True)
class History:
    """What callers, workers and the operator saw.

    `changed_s` is the time of the change of `MOVED_PATH`, `calm_s` that of the
    last disruption. `is_planned` says that there was nothing but planned work.
    """

    sent: tuple[Sent, ...]
    runs: tuple[faulty_worker.Run, ...]
    departures: tuple[Departure, ...]
    changed_s: float
    calm_s: float
    is_planned: bool


def find_breaks(history: History) -> list[str]:
    """Returns a line for each broken promise."""
    return [
        *_find_second_runs(history),
        *_find_false_refusals(history),
        *_find_foreign_answers(history.sent),
        *_find_lost_answers(history),
        *_find_use_after_departure(history),
        *_find_old_routes(history),
        *_find_missing_service(history),
    ]


def _find_second_runs(history: History) -> Iterator[str]:
    paths = {sent.request_id: sent.path for sent in history.sent}
    counts = collections.Counter(run.request_id for run in history.runs)
    for request_id, count in counts.items():
        if count > 1 and paths.get(request_id) == BUY_PATH:
            yield f"TWICE: {request_id} ran {count} times"


def _find_false_refusals(history: History) -> Iterator[str]:
    ran = {run.request_id for run in history.runs}
    for sent in history.sent:
        if (
            sent.path == BUY_PATH
            and sent.status in NOT_RUN_STATUSES
            and sent.request_id in ran
        ):
            yield f"REFUSED: {sent.request_id} got {sent.status} and ran"


def _find_foreign_answers(requests: Iterable[Sent]) -> Iterator[str]:
    for sent in requests:
        if sent.status != STATUS_OK:
            continue
        worker, _, request_id = sent.signature.partition("/")
        target = f"{sent.path}{sent.request_id}"
        body = f"{worker}{target}".encode()
        if request_id != sent.request_id or sent.body != body:
            yield (
                f"MIXED: {sent.request_id} got {sent.signature!r} with"
                f" {sent.body!r}"
            )


def _find_lost_answers(history: History) -> Iterator[str]:
    if not history.is_planned:
        return
    ran = {run.request_id for run in history.runs}
    for sent in history.sent:
        if (
            sent.status == NO_ANSWER
            and not sent.gave_up
            and sent.request_id in ran
        ):
            yield f"LOST: {sent.request_id} ran and got no answer"


def _find_use_after_departure(history: History) -> Iterator[str]:
    acknowledged = {
        departure.worker: departure.acknowledged_s
        for departure in reversed(history.departures)
    }
    sent_s = {sent.request_id: sent.sent_s for sent in history.sent}
    for run in history.runs:
        due_s = acknowledged.get(run.worker)
        if due_s is None:
            continue
        late_s = sent_s.get(run.request_id, 0.0) - due_s
        if late_s > DRAIN_S:
            yield (
                f"DRAIN: {run.request_id}, sent {late_s:.2f} s after the"
                f" departure of {run.worker}, ran there"
            )


def _find_old_routes(history: History) -> Iterator[str]:
    """Finds requests on a moved route that ran at its old service."""
    sent_by_id = {sent.request_id: sent for sent in history.sent}
    due_s = max(history.changed_s, history.calm_s) + APPLY_S
    seen_s: dict[str, float] = {}
    for run in sorted(history.runs, key=lambda run: run.at_s):
        sent = sent_by_id.get(run.request_id)
        if sent is None or sent.path != MOVED_PATH:
            continue
        if run.service == NEW_SERVICE:
            seen_s.setdefault(sent.process, run.at_s)
        elif sent.sent_s > due_s:
            yield f"CONFIG: {run.request_id} ran at the old service"
        elif sent.sent_s > seen_s.get(sent.process, sent.sent_s) + ROLLBACK_S:
            yield f"CONFIG: {run.request_id}: the old route came back"


def _find_missing_service(history: History) -> Iterator[str]:
    calm = [
        sent for sent in history.sent if sent.sent_s > history.calm_s + APPLY_S
    ]
    served = sum(sent.status == STATUS_OK for sent in calm)
    if not calm or served < SERVED_RATIO * len(calm):
        yield f"RECOVER: {served} of {len(calm)} requests served when calm"
