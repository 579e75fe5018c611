"""Whether the platform answers a relay, and since when.

Every `since_ms` is a time on the local clock.

Only relays call the platform; they are a few daemons of the data centre, which
`membership.relays` selects. Each relay sends this state to the other daemons
of its data centre, so that every daemon can show whether the data centre is cut
off from the platform.
"""

from collections.abc import Callable
import dataclasses

from kumquatridge import clock


@dataclasses.dataclass(frozen=True, slots=True)
class NotAsked:
    """This daemon is not a relay, or has not called the platform yet."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answering:
    """Every call since `since_ms` was answered."""

    since_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Silent:
    """The platform stopped answering; its last answer came at `since_ms`."""

    since_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class NeverAnswered:
    """No answer yet since the first failed call, at `since_ms`.

    This is the state of a relay that starts while the platform is cut off.
    """

    since_ms: float


PlatformReach = NotAsked | Answering | Silent | NeverAnswered


class ReachObserver:
    """Derives the platform reach from the outcomes of a relay's calls.

    `on_change` is called with the new state at each change.
    """

    def __init__(
        self, on_change: Callable[[PlatformReach], None] | None = None
    ) -> None:
        self._on_change = on_change
        self._reach: PlatformReach = NotAsked()
        # Time of the last answer; used only after a first one.
        self._answered_at_ms = 0.0

    def record_answer(self) -> None:
        """Records that the platform answered a call."""
        now_ms = clock.get_now_ms()
        self._answered_at_ms = now_ms
        match self._reach:
            case Answering():
                pass
            case NotAsked() | Silent() | NeverAnswered():
                self._change(Answering(now_ms))

    def record_failure(self) -> None:
        """Records a call that the platform did not answer."""
        match self._reach:
            case Answering():
                self._change(Silent(self._answered_at_ms))
            case NotAsked():
                self._change(NeverAnswered(clock.get_now_ms()))
            case Silent() | NeverAnswered():
                pass

    def record_relay_stopped(self) -> None:
        """Records that this daemon is no longer a relay."""
        self._change(NotAsked())

    def _change(self, reach: PlatformReach) -> None:
        self._reach = reach
        if self._on_change is not None:
            self._on_change(reach)
