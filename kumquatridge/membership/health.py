"""How far this daemon may trust its own verdicts on others.

Source: A. Dadgar, J. Phillips and J. Currey, "Lifeguard: Local Health
Awareness for More Accurate Failure Detection", 2018.
"""

from kumquatridge import clock

MAX_SCORE = 4
LATE_MS = 500
EXCHANGE_WEIGHT = 0.05
LOSSY_RATIO = 0.15
REPEATS_PER_FAILURE = 5.0
MAX_STRETCH = 2.0


class LocalHealth:
    """Scores signs that this daemon, not its peers, is slow."""

    def __init__(self) -> None:
        self._score = 0
        self._failed_ratio = 0.0

    def scale(self, timeout_ms: int) -> int:
        """Returns a timeout, longer the worse this daemon does."""
        return timeout_ms * (1 + self._score)

    def record_exchange(self, *, is_answered: bool) -> None:
        """Notes whether a heartbeat was answered."""
        failed = 0.0 if is_answered else 1.0
        self._failed_ratio += EXCHANGE_WEIGHT * (failed - self._failed_ratio)

    @property
    def is_lossy(self) -> bool:
        """Tells whether so many go unanswered that one more says little."""
        return self._failed_ratio > LOSSY_RATIO

    def stretch(self, interval_ms: float) -> float:
        """Returns a longer interval while many heartbeats go unanswered.

        Each of those costs some more, so that the sum stays about the same.
        """
        excess = max(0.0, self._failed_ratio - LOSSY_RATIO)
        repeats = REPEATS_PER_FAILURE * excess
        return interval_ms * min(MAX_STRETCH, 1.0 + repeats)

    def record_good(self) -> None:
        """Notes an exchange that came to an end in time."""
        self._score = max(0, self._score - 1)

    def record_bad(self) -> None:
        """Notes a sign that this daemon is slow or cut off."""
        self._score = min(MAX_SCORE, self._score + 1)

    def is_late(self, due_ms: float) -> bool:
        """Tells whether this daemon runs late, as after a pause.

        A verdict that was due while the daemon did not run says nothing
        about the peer.
        """
        late = clock.get_now_ms() - due_ms > LATE_MS
        if late:
            self._score = MAX_SCORE
        return late
