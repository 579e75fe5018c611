"""Signs that some daemon is in touch with the platform.

A few daemons watch the platform and publish its changes to the others. The
others rely on them only while the newest sign of such a watch is young. Signs
travel with the heartbeats as ages, because clocks differ between instances.
With random heartbeats the age at any daemon grows with the logarithm of the
number of members.

A waiting watch gives a sign all the time, though its connection may have gone
silent: frequent calls of all watchers would cost too much. Only the first of
all watchers calls the platform often. Once it gets no answer, it raises a
doubt, which travels with the heartbeats too. From then on a waiting watch
counts only from its last answer, until it is answered again, and deputies read
the platform at once.

Source: A. Demers et al., "Epidemic Algorithms for Replicated Database
Maintenance", 1987.
"""

import math

from kumquatridge import clock
from kumquatridge.telemetry import events

# Time for which a doubt is passed on, and deputies watch. By then each working
# watch was answered again (`window_ms` of `settings.route_watch`).
DOUBT_MS = 5000.0
# Doubts that are remembered, so that none is raised twice.
MAX_DOUBTS = 64


class PlatformSigns:
    """The newest sign that this daemon has given or received."""

    def __init__(self) -> None:
        self._is_watching = False
        # Time of the newest sign, on the clock of this process.
        self._signed_ms = -math.inf
        # Time of the last answer of the platform to this daemon.
        self._answered_ms = -math.inf
        # The known doubts, oldest first, and the time of the newest.
        self._doubts: dict[str, None] = {}
        self._doubted_ms = -math.inf

    def set_watching(self, is_watching: bool) -> None:
        """Says whether this daemon is in touch with the platform itself.

        Called with True at each answer of the platform. Once the watch has
        failed, the last answer is the newest sign: the connection may have been
        silent since.
        """
        if is_watching:
            self._answered_ms = clock.get_now_ms()
        elif self._is_watching:
            self._signed_ms = max(self._signed_ms, self._answered_ms)
        self._is_watching = is_watching

    def get_age_ms(self) -> float:
        """Returns the age of the newest sign, infinite if there is none."""
        now_ms = clock.get_now_ms()
        if not self._is_watching:
            return now_ms - self._signed_ms
        if self._answered_ms >= self._doubted_ms:
            return 0.0
        return now_ms - max(self._signed_ms, self._answered_ms)

    @property
    def newest_doubt(self) -> str:
        """The name of the newest doubt, "" if there was none lately."""
        if not self.is_doubted:
            return ""
        return next(reversed(self._doubts))

    @property
    def is_doubted(self) -> bool:
        """Whether there was a doubt within `DOUBT_MS`."""
        return clock.get_now_ms() - self._doubted_ms < DOUBT_MS

    def add_doubt(self, name: str) -> bool:
        """Adds a doubt, raised here or by a peer; returns whether it is new.

        It counts from now on: its age at other daemons is not needed.
        """
        if not name or name in self._doubts:
            return False
        self._doubts[name] = None
        if len(self._doubts) > MAX_DOUBTS:
            del self._doubts[next(iter(self._doubts))]
        self._doubted_ms = clock.get_now_ms()
        events.log(events.PlatformDoubted(name))
        return True

    def merge(self, age_ms: float) -> None:
        """Applies the age that a peer reports; ignores impossible ages."""
        if math.isfinite(age_ms) and age_ms >= 0.0:
            signed_ms = clock.get_now_ms() - age_ms
            self._signed_ms = max(self._signed_ms, signed_ms)
