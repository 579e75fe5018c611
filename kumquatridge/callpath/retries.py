"""Whether a call that came to nothing is sent to another instance."""

import dataclasses

from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals


@dataclasses.dataclass(frozen=True, slots=True)
class Accept:
    """The outcome stands and goes back to the caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class TryAnother:
    """Another instance may still run the call; `reason` is for counters."""

    reason: str


RetryVerdict = Accept | TryAnother

WORKER_SHED = "worker_shed"
UNANSWERED = "unanswered"


def judge(call: calls.Call, outcome: outcomes.Outcome) -> RetryVerdict:
    """Decides whether to try another instance, the allowance aside.

    A call that may have run is tried again only when it is idempotent. A
    body that was read in part can't be sent whole and is never sent again.
    """
    if not call_body.is_resendable(call.body):
        return Accept()
    match outcome:
        case outcomes.NotRun(refusal):
            return _judge_refusal(refusal)
        case outcomes.Completed(is_worker_shed=True) if call.policy.idempotent:
            return TryAnother(WORKER_SHED)
        case outcomes.Failed() | outcomes.Unknown() if call.policy.idempotent:
            return TryAnother(UNANSWERED)
        case _:
            return Accept()


def _judge_refusal(refusal: refusals.Refusal) -> RetryVerdict:
    match refusal:
        case (
            refusals.Overloaded()
            | refusals.Draining()
            | refusals.Unreachable()
            | refusals.NoInstance()
            | refusals.NotReady()
            | refusals.WorkerRefused()
        ):
            return TryAnother(refusal.code)
        case _:
            return Accept()
