"""A budget that fills at a steady rate up to a bound."""

from kumquatridge import clock


class RateBudget:
    """Allows a burst, and in the long run only so much a second."""

    def __init__(self, per_s: float, burst: int) -> None:
        self._per_s = per_s
        self._burst = burst
        self._left = float(burst)
        self._filled_at_ms: float | None = None

    def take(self, wanted: int) -> int:
        """Spends up to `wanted`; returns how much there was."""
        self._fill()
        granted = min(wanted, int(self._left))
        self._left -= granted
        return granted

    def _fill(self) -> None:
        now_ms = clock.get_now_ms()
        if self._filled_at_ms is not None:
            filled = (now_ms - self._filled_at_ms) / 1000.0 * self._per_s
            self._left = min(float(self._burst), self._left + filled)
        self._filled_at_ms = now_ms
