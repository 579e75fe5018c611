"""The largest value of a counter within the last seconds."""


class RecentPeak:
    """The peak over the present window and the one before.

    `first` stands for the time before the first window.
    """

    def __init__(self, first: int = 0) -> None:
        self._present = 0
        self._previous = first

    @property
    def value(self) -> int:
        """The peak."""
        return max(self._present, self._previous)

    def record(self, value: int) -> None:
        """Takes note of a value."""
        self._present = max(self._present, value)

    def roll(self, value: int) -> None:
        """Starts a new window with the present value."""
        self._previous = self._present
        self._present = value
