"""Local health: how reliable this daemon's failure detection is.

Source: A. Dadgar, J. Phillips and J. Currey, "Lifeguard: Local Health
Awareness for More Accurate Failure Detection", 2018.
"""

from kumquatridge import clock

MAX_SCORE = 4
LATENESS_THRESHOLD_MS = 500
# Weight of one heartbeat in the average share of unanswered ones.
FAILURE_EWMA_WEIGHT = 0.05
# Share of unanswered heartbeats above which the network counts as lossy.
LOSSY_RATIO = 0.15
# Messages that an unanswered heartbeat causes, such as indirect probes.
EXTRA_MESSAGES_PER_FAILURE = 5.0
# Longest interval between heartbeats, relative to the one without losses.
MAX_INTERVAL_FACTOR = 2.0


class LocalHealth:
    """Scores the signs that this daemon itself, not its peers, is slow.

    The score ranges from 0 (healthy) to `MAX_SCORE`.
    """

    def __init__(self) -> None:
        self._score = 0
        # Moving average: the share of heartbeats that were not answered.
        self._failed_ratio = 0.0

    def scale_timeout(self, timeout_ms: int) -> int:
        """Returns the time-out multiplied by one more than the score."""
        return timeout_ms * (1 + self._score)

    def record_exchange(self, *, is_answered: bool) -> None:
        """Records whether a heartbeat was answered."""
        failed = 0.0 if is_answered else 1.0
        self._failed_ratio += FAILURE_EWMA_WEIGHT * (
            failed - self._failed_ratio
        )

    @property
    def is_lossy(self) -> bool:
        """Whether one more unanswered heartbeat says little about a peer.

        That is so while a large share of all heartbeats goes unanswered.
        """
        return self._failed_ratio > LOSSY_RATIO

    def stretch_interval(self, interval_ms: float) -> float:
        """Returns a longer interval while many heartbeats go unanswered.

        An unanswered heartbeat causes further messages; the longer interval
        keeps the total rate of messages about the same.
        """
        excess = max(0.0, self._failed_ratio - LOSSY_RATIO)
        extra_messages = EXTRA_MESSAGES_PER_FAILURE * excess
        return interval_ms * min(MAX_INTERVAL_FACTOR, 1.0 + extra_messages)

    def record_healthy(self) -> None:
        """Lowers the score after an exchange that completed in time."""
        self._score = max(0, self._score - 1)

    def record_unhealthy(self) -> None:
        """Raises the score on a sign that this daemon is slow or cut off."""
        self._score = min(MAX_SCORE, self._score + 1)

    def detect_lateness(self, due_ms: float) -> bool:
        """Returns whether this daemon runs late, as after a pause.

        It is late if more than `LATENESS_THRESHOLD_MS` have passed since
        `due_ms`, the time at which it should have gone on. The score is then
        set to its maximum. A time-out that expired while the daemon did not run
        says nothing about the peer.
        """
        late = clock.get_now_ms() - due_ms > LATENESS_THRESHOLD_MS
        if late:
            self._score = MAX_SCORE
        return late
