"""Jobs: calls that simulated callers and workers make, and their answers."""

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

    `call_id` differs between resends of a request. `key` is the idempotency
    key, which is the same on every resend and was created at `key_created_ms`;
    None for a GET. `path` is the path of the step with the number of the
    request, or "poison", appended.
    """

    call_id: int
    key: str | None
    step: deployments.Step
    path: str
    is_poison: bool
    key_created_ms: float


class JobRegistry:
    """Creates jobs and finds them by call id."""

    def __init__(self) -> None:
        self._ids = itertools.count(1)
        self._jobs: dict[int, Job] = {}

    def make_root(
        self, chain: deployments.Chain, number: int, created_ms: float
    ) -> Job:
        """Creates the root call of the request with a number.

        Each resend of the request gets a new one.
        """
        job = Job(
            next(self._ids),
            None if chain.root.method == "GET" else f"{chain.name}-{number}",
            chain.root,
            f"{chain.root.path}/{'poison' if chain.is_poison else number}",
            chain.is_poison,
            created_ms,
        )
        self._jobs[job.call_id] = job
        return job

    def make_child(self, parent: Job, position: int) -> Job:
        """Creates the call of the child at a position in the parent's step."""
        step = parent.step.children[position]
        number = parent.path.rpartition("/")[2]
        key = f"{parent.key or parent.call_id}.{position}"
        job = Job(
            next(self._ids),
            None if step.method == "GET" else key,
            step,
            f"{step.path}/{number}",
            is_poison=False,
            key_created_ms=parent.key_created_ms,
        )
        self._jobs[job.call_id] = job
        return job

    def find(self, headers: outcomes.Headers) -> Job:
        """Returns the job that a call's headers name."""
        return self._jobs[int(dict(headers)[CALL_ID_HEADER])]


def make_request(job: Job, token: str | None) -> call_builder.Request:
    """Returns the request of a job in the form that a daemon receives."""
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
        key_age_ms=math.ceil(clock.get_now_ms() - job.key_created_ms),
    )


def make_answer(job: Job, status: int) -> outcomes.Completed:
    """Returns a worker's answer, whose body is the signature of the job."""
    return outcomes.Completed(
        status, (), call_body.BufferedBody(get_signature(job))
    )


def get_signature(job: Job) -> bytes:
    """Returns the expected body of the answer to a call.

    Calls with the same idempotency key have the same one; a call without a
    key has its own.
    """
    return (job.key or str(job.call_id)).encode()


def is_success(outcome: outcomes.Outcome) -> bool:
    """Returns whether a worker answered with status 200."""
    match outcome:
        case outcomes.Completed(status=status):
            return status == STATUS_OK
        case _:
            return False
