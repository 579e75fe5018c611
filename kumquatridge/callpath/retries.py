"""Classification of outcomes: final, or retried at another instance."""

import dataclasses

from kumquatridge.calls import body as call_body
from kumquatridge.calls import call as calls
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals


@dataclasses.dataclass(frozen=True, slots=True)
class AcceptOutcome:
    """The outcome is final and goes back to the caller."""


@dataclasses.dataclass(frozen=True, slots=True)
class RetryOtherInstance:
    """The call may be sent to another instance.

    `reason` labels the retry metric.
    """

    reason: str


RetryDecision = AcceptOutcome | RetryOtherInstance

# Reasons of retries. After a refusal, the reason is the code of the refusal.
WORKER_SHED = "worker_shed"
UNANSWERED = "unanswered"


def classify_outcome(
    call: calls.Call, outcome: outcomes.Outcome
) -> RetryDecision:
    """Decides whether to retry at another instance.

    Whether the limits on retries permit it is not considered here, but by the
    code that carries out the decision. A call that may have run is retried only
    when it is idempotent. A call whose streamed body has been read, even in
    part, is never sent again.
    """
    if not call_body.is_resendable(call.body):
        return AcceptOutcome()
    match outcome:
        case outcomes.NotRun(refusal):
            return _classify_refusal(refusal)
        case outcomes.Completed(is_worker_shed=True) if call.policy.idempotent:
            return RetryOtherInstance(WORKER_SHED)
        case outcomes.Failed() | outcomes.Unknown() if call.policy.idempotent:
            return RetryOtherInstance(UNANSWERED)
        case _:
            return AcceptOutcome()


def _classify_refusal(refusal: refusals.Refusal) -> RetryDecision:
    match refusal:
        case (
            refusals.Overloaded()
            | refusals.Draining()
            | refusals.Unreachable()
            | refusals.NoInstance()
            | refusals.NotReady()
            | refusals.MemoryFull()
            | refusals.WorkerRefused()
        ):
            return RetryOtherInstance(refusal.code)
        case _:
            return AcceptOutcome()
