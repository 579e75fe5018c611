"""What the bench's callers and workers ask for, and how it came out."""

import dataclasses
import itertools
import math

from kumquatridge import clock
from kumquatridge.bench import deployments
from kumquatridge.callpath import call_builder
from kumquatridge.calls import body as call_body
from kumquatridge.calls import outcomes

CALL_ID_HEADER = "bench-call"
STATUS_OK = 200
STATUS_CHILD_FAILED = 502


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """One call, made by a caller or by a worker.

    `call_id` is the call's own, even when the same request is sent again;
    `key` is the idempotency key, the same on every resend; it was made at
    `key_made_ms`.
    """

    call_id: int
    key: str | None
    step: deployments.Step
    path: str
    is_poison: bool
    key_made_ms: float


class JobBook:
    """Makes jobs and finds them by their id."""

    def __init__(self) -> None:
        self._ids = itertools.count(1)
        self._jobs: dict[int, Job] = {}

    def make_root(
        self, chain: deployments.Chain, number: int, made_ms: float
    ) -> Job:
        """Makes the first call of a whole request, or sends it again."""
        job = Job(
            next(self._ids),
            None if chain.root.method == "GET" else f"{chain.name}-{number}",
            chain.root,
            f"{chain.root.path}/{'poison' if chain.is_poison else number}",
            chain.is_poison,
            made_ms,
        )
        self._jobs[job.call_id] = job
        return job

    def make_child(self, parent: Job, position: int) -> Job:
        """Makes a call that a worker makes while it runs the parent."""
        step = parent.step.children[position]
        number = parent.path.rpartition("/")[2]
        key = f"{parent.key or parent.call_id}.{position}"
        job = Job(
            next(self._ids),
            None if step.method == "GET" else key,
            step,
            f"{step.path}/{number}",
            is_poison=False,
            key_made_ms=parent.key_made_ms,
        )
        self._jobs[job.call_id] = job
        return job

    def find(self, headers: outcomes.Headers) -> Job:
        """Returns the job that a call's headers name."""
        return self._jobs[int(dict(headers)[CALL_ID_HEADER])]


def make_request(job: Job, token: str | None) -> call_builder.Request:
    """Returns the request of a job as a daemon takes it in."""
    data = b"" if job.step.method == "GET" else job.path.encode()
    return call_builder.Request(
        service=job.step.service,
        method=job.step.method,
        path=job.path,
        headers=((CALL_ID_HEADER, str(job.call_id)),),
        body=call_body.BufferedBody(data),
        caller="bench",
        idempotency_key=job.key,
        token=token,
        key_age_ms=math.ceil(clock.get_now_ms() - job.key_made_ms),
    )


def make_answer(job: Job, status: int) -> outcomes.Completed:
    """Returns the answer of a worker, which names the request it answers."""
    return outcomes.Completed(
        status, (), call_body.BufferedBody(get_signature(job))
    )


def get_signature(job: Job) -> bytes:
    """Returns what the answer to a call must hold.

    Resends of one key share an answer; other calls have their own.
    """
    return (job.key or str(job.call_id)).encode()


def is_success(outcome: outcomes.Outcome) -> bool:
    """Tells whether a worker answered that all went well."""
    match outcome:
        case outcomes.Completed(status=status):
            return status == STATUS_OK
        case _:
            return False
