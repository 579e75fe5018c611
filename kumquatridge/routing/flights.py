"""What the end of a call tells about the instance that it was sent to."""

import dataclasses

from kumquatridge import clock
from kumquatridge.calls import outcomes
from kumquatridge.calls import refusals

FIRST_ERROR_STATUS = 500
OVERLOAD_STATUSES = frozenset((429, 503))


class Record:
    """Takes the outcome of a call in flight."""

    def __init__(self) -> None:
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


def judge(outcome: outcomes.Outcome | None) -> Ending:
    """Returns what an outcome tells about the instance."""
    match outcome:
        case None:
            return Abandoned()
        case outcomes.Completed(status) if status in OVERLOAD_STATUSES:
            return Turned()
        case outcomes.Completed(status) if status >= FIRST_ERROR_STATUS:
            return Broken()
        case outcomes.Completed():
            return Answered()
        case outcomes.NotRun(refusals.Draining()):
            return Departed()
        case outcomes.NotRun(refusals.Unreachable()):
            return Broken()
        case outcomes.NotRun():
            return Turned()
        case outcomes.Failed() | outcomes.Unknown():
            return Broken()
