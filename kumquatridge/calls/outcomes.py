"""What became of a call, as far as the system can prove it."""

import dataclasses

from kumquatridge.calls import body as call_body
from kumquatridge.calls import load_reports
from kumquatridge.calls import refusals

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Completed:
    """A worker ran the call and its answer is here.

    The answer is the worker's own, whatever its status; a status of 503 by
    the worker is a completed call too, because the worker saw the call.
    `is_worker_shed` tells that the worker itself refused for overload.
    `child_failed` tells that a call which the worker made came to nothing, so
    that its own failure may be no fault of its own.
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
    """No byte of the call reached a worker."""

    refusal: refusals.Refusal
    unspent_retries: int = 0
    report: load_reports.LoadReport | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """A worker saw the call and the call is known to have failed."""

    detail: str
    unspent_retries: int = 0
    report: load_reports.LoadReport | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The call may or may not have run; `detail` says what was lost.

    `worker_lost` tells that the connection to the worker broke, `timed_out`
    that the deadline passed without an answer.
    """

    detail: str
    unspent_retries: int = 0
    report: load_reports.LoadReport | None = None
    worker_lost: bool = False
    timed_out: bool = False


Outcome = Completed | NotRun | Failed | Unknown
