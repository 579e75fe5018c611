"""Whether the platform answers a relay, and since when.

Only relays call the platform. Each tells the other daemons of its data
centre, so that any of them can say what is cut off.
"""

from collections.abc import Callable
import dataclasses

from kumquatridge import clock


@dataclasses.dataclass(frozen=True, slots=True)
class NotAsked:
    """This daemon is no relay, or has not called yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answering:
    """The platform answers, without a gap since `since_ms`."""

    since_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """The last answer came at `since_ms`."""

    since_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class NeverAnswered:
    """No answer came since this relay first called, at `since_ms`.

    So it is for a relay that starts while the platform is cut off.
    """

    since_ms: float


PlatformReach = NotAsked | Answering | Silent | NeverAnswered


class ReachObserver:
    """Turns the outcomes of a relay's calls into a reach.

    Times are on the local clock. `on_change` gets each new reach.
    """

    def __init__(
        self, on_change: Callable[[PlatformReach], None] | None = None
    ) -> None:
        self._on_change = on_change
        self._reach: PlatformReach = NotAsked()
        self._answered_at_ms = 0.0

    def note_answer(self) -> None:
        """Takes an answer of the platform."""
        now_ms = clock.get_now_ms()
        self._answered_at_ms = now_ms
        match self._reach:
            case Answering():
                pass
            case NotAsked() | Silent() | NeverAnswered():
                self._change(Answering(now_ms))

    def note_silence(self) -> None:
        """Takes a call that came to nothing."""
        match self._reach:
            case Answering():
                self._change(Silent(self._answered_at_ms))
            case NotAsked():
                self._change(NeverAnswered(clock.get_now_ms()))
            case Silent() | NeverAnswered():
                pass

    def note_stopped(self) -> None:
        """Takes the word that this daemon is no relay any more."""
        self._change(NotAsked())

    def _change(self, reach: PlatformReach) -> None:
        self._reach = reach
        if self._on_change is not None:
            self._on_change(reach)
