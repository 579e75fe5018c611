"""Recent maximum of a counter."""


class RecentPeak:
    """The maximum over the current window and the previous one.

    A window lasts until the next call of `start_window`. `initial` is the
    maximum assumed for the time before the first window.
    """

    def __init__(self, initial: int = 0) -> None:
        self._current = 0
        self._previous = initial

    @property
    def value(self) -> int:
        """The maximum over both windows."""
        return max(self._current, self._previous)

    def record(self, value: int) -> None:
        """Records a value in the current window."""
        self._current = max(self._current, value)

    def start_window(self, value: int) -> None:
        """Starts a new window with the current value."""
        self._previous = self._current
        self._current = value
