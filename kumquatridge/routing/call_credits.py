"""A bound on a kind of calls as a part of all calls."""

MAX_CREDIT = 32.0


class Credit:
    """Grows by a part of a call with each call; each use takes a whole one.

    It starts full and never holds more than `MAX_CREDIT` calls, so that a
    short need is met at once.
    """

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._calls = MAX_CREDIT

    def earn(self) -> None:
        """Takes note of a call."""
        self._calls = min(MAX_CREDIT, self._calls + self._ratio)

    def has_any(self) -> bool:
        """Tells whether a use is within the bound."""
        return self._calls >= 1.0

    def take(self) -> bool:
        """Takes a use; returns whether it was within the bound."""
        if not self.has_any():
            return False
        self._calls -= 1.0
        return True
