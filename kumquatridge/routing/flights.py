"""What the end of a call tells about the instance that it was sent to."""

import dataclasses

from kumquatridge import clock
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals

FIRST_ERROR_STATUS = 500
OVERLOAD_STATUSES = frozenset((429, 503))


class Record:
    """Takes the outcome of a call in flight.

    `defies` tells that the call was sent though its instance's told level
    refuses it.
    """

    def __init__(self, defies: bool = False) -> None:
        self.defies = defies
        self.outcome: outcomes.Outcome | None = None
        self.ended_ms: float | None = None

    def finish(self, outcome: outcomes.Outcome) -> None:
        """Takes the outcome; the call's time ends here."""
        self.outcome = outcome
        self.ended_ms = clock.get_now_ms()


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The worker answered; the time tells how quick it is."""


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The instance is out of reach or its worker fails."""


@dataclasses.dataclass(frozen=True, slots=True)
class Abandoned:
    """Nobody waited for the outcome, or the deadline passed."""


@dataclasses.dataclass(frozen=True, slots=True)
class Departed:
    """The instance takes no new calls."""


@dataclasses.dataclass(frozen=True, slots=True)
class Turned:
    """The call was turned away, which is no fault of the instance."""


Ending = Answered | Broken | Abandoned | Departed | Turned


def judge(outcome: outcomes.Outcome | None, remaining_ms: float) -> Ending:
    """Returns what an outcome tells about the instance.

    `remaining_ms` is what was left of the call's deadline. An answer that
    did not come in that time tells of a slow instance, not of a failing one.
    """
    match outcome:
        case outcomes.Unknown(worker_lost=False) if remaining_ms <= 0:
            return Abandoned()
        case None:
            return Abandoned()
        case outcomes.Completed(status) if status in OVERLOAD_STATUSES:
            return Turned()
        case outcomes.Completed(status, child_failed=child_failed) if (
            status >= FIRST_ERROR_STATUS
        ):
            return Turned() if child_failed else Broken()
        case outcomes.Completed():
            return Answered()
        case outcomes.NotRun(refusals.Draining()):
            return Departed()
        case outcomes.NotRun(refusals.Unreachable() | refusals.WorkerRefused()):
            return Broken()
        case outcomes.NotRun():
            return Turned()
        case outcomes.Failed() | outcomes.Unknown():
            return Broken()
