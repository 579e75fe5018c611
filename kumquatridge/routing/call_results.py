"""Classifies the outcome of a call by what it says about the instance."""

import dataclasses

from kumquatridge import clock
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals

MIN_SERVER_ERROR_STATUS = 500
# Answers by which a worker refuses a call for overload or a rate limit.
OVERLOAD_STATUSES = frozenset((429, 503))


class CallRecord:
    """Holds the outcome of an in-flight call.

    `was_refusal_expected` is set if the call was sent although its rank is
    below the admission level that the instance reported (see
    `admission.levels`). `ended_ms` is the time at which the outcome was stored,
    on the clock of this process.
    """

    def __init__(self, was_refusal_expected: bool = False) -> None:
        self.was_refusal_expected = was_refusal_expected
        self.outcome: outcomes.Outcome | None = None
        self.ended_ms: float | None = None

    def finish(self, outcome: outcomes.Outcome) -> None:
        """Stores the outcome and stops the latency measurement."""
        self.outcome = outcome
        self.ended_ms = clock.get_now_ms()


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The worker answered; the time until then is a valid latency sample."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The instance is unreachable or its worker failed the call."""


@dataclasses.dataclass(frozen=True, slots=True)
class Abandoned:
    """The caller no longer waits for the outcome, or the deadline passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Drained:
    """The instance is leaving and accepts no new calls."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The call was refused or failed, but not by a fault of the instance.

    It counts neither as an answer nor as a failure. This includes overload
    answers, and an error answer after a failed child call, as that failure may
    have caused the error.
    """


CallResult = Answered | Failed | Abandoned | Drained | Rejected


def classify(
    outcome: outcomes.Outcome | None, remaining_ms: float
) -> CallResult:
    """Returns the result of a call with respect to its instance.

    `outcome` is None if the caller stopped waiting for it. `remaining_ms` is
    the time left before the deadline of the call, 0 or less once that has
    passed. An instance that has not answered by the deadline is taken to be
    slow, not failing, unless its worker was lost.
    """
    match outcome:
        case outcomes.Unknown(worker_lost=False) if remaining_ms <= 0:
            return Abandoned()
        case None:
            return Abandoned()
        case outcomes.Completed(status) if status in OVERLOAD_STATUSES:
            return Rejected()
        case outcomes.Completed(status, child_failed=child_failed) if (
            status >= MIN_SERVER_ERROR_STATUS
        ):
            return Rejected() if child_failed else Failed()
        case outcomes.Completed():
            return Answered()
        case outcomes.NotRun(refusals.Draining()):
            return Drained()
        case outcomes.NotRun(refusals.Unreachable() | refusals.WorkerRefused()):
            return Failed()
        case outcomes.NotRun():
            return Rejected()
        case outcomes.Failed() | outcomes.Unknown():
            return Failed()
