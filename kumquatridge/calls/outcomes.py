"""Outcomes of a call, by what is known about whether it ran.

Every outcome has `unspent_retries`, the number of retries of the call's retry
allowance that were not spent, and `report`, the load of the instance that gave
the outcome, None if it sent none.
"""

import dataclasses

from kumquatridge.calls import body as call_body
from kumquatridge.calls import load_reports
from kumquatridge.calls import refusals

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """A worker ran the call and answered.

    The answer comes from the worker, whatever its status: a 503 by the worker
    is a completed call too, because the worker received the call.
    `is_worker_shed` tells whether the worker shed the call because it was
    overloaded itself, not because a child call was refused. `child_failed`
    tells whether a child call failed; an error status of this call then does
    not count as a failure of the instance.
    """

    status: int
    headers: Headers
    body: call_body.Body
    unspent_retries: int = 0
    report: load_reports.LoadReport | None = None
    is_worker_shed: bool = False
    child_failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The call was not run.

    No byte of the call reached a worker, except with `WorkerRefused`.
    """

    refusal: refusals.Refusal
    unspent_retries: int = 0
    report: load_reports.LoadReport | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A worker received the call, which is known to have failed.

    `detail` says how.
    """

    detail: str
    unspent_retries: int = 0
    report: load_reports.LoadReport | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The call may or may not have run; `detail` says why that is unknown.

    `worker_lost` tells that the connection to the worker broke, which counts as
    a crash of the worker, `timed_out` that the deadline passed without an
    answer.
    """

    detail: str
    unspent_retries: int = 0
    report: load_reports.LoadReport | None = None
    worker_lost: bool = False
    timed_out: bool = False


Outcome = Completed | NotRun | Failed | Unknown
