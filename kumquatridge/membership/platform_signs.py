"""Signs that some daemon is in touch with the platform.

A few daemons watch the platform and publish its changes to the others. The
others rely on them only while the newest sign of such a watch is young. Signs
travel with the heartbeats as ages, because clocks differ between instances.
With random heartbeats the age at any daemon grows with the logarithm of the
number of members.

Source: A. Demers et al., "Epidemic Algorithms for Replicated Database
Maintenance", 1987.
"""

import math

from kumquatridge import clock


class PlatformSigns:
    """The newest sign that this daemon has given or received."""

    def __init__(self) -> None:
        self._is_watching = False
        # Time of the newest sign, on the clock of this process.
        self._signed_ms = -math.inf
        # Time of the last answer of the platform to this daemon.
        self._answered_ms = -math.inf

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
        if self._is_watching:
            return 0.0
        return clock.get_now_ms() - self._signed_ms

    def merge(self, age_ms: float) -> None:
        """Applies the age that a peer reports; ignores impossible ages."""
        if math.isfinite(age_ms) and age_ms >= 0.0:
            signed_ms = clock.get_now_ms() - age_ms
            self._signed_ms = max(self._signed_ms, signed_ms)
