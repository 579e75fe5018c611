"""Token bucket: limits a rate and allows a burst."""

from kumquatridge import clock


class TokenBucket:
    """Holds up to `burst` tokens and is refilled at `per_s` tokens a second."""

    def __init__(self, per_s: float, burst: int) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = float(burst)
        self._filled_at_ms: float | None = None

    def take(self, wanted: int) -> int:
        """Takes up to `wanted` tokens; returns how many it took."""
        self._fill()
        granted = min(wanted, int(self._tokens))
        self._tokens -= granted
        return granted

    def _fill(self) -> None:
        now_ms = clock.get_now_ms()
        if self._filled_at_ms is not None:
            filled = (now_ms - self._filled_at_ms) / 1000.0 * self._per_s
            self._tokens = min(float(self._burst), self._tokens + filled)
        self._filled_at_ms = now_ms
