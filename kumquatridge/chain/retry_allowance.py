"""The retry allowance that one call holds.

Retries are moved, never copied, so that the retries of a whole call graph
never exceed what its root was granted.
"""


class RetryAllowance:
    """Retries of one call: spent here, lent to children, or handed back.

    What a child does not spend is put back; the share of a child whose
    answer is lost stays lost.
    """

    def __init__(self, granted: int) -> None:
        self._left = max(0, granted)
        self._settled = False

    @property
    def remaining(self) -> int:
        """Retries that are neither spent nor lent to a child."""
        return self._left

    def try_consume(self) -> bool:
        """Takes one retry out; returns whether there was one."""
        if self._left == 0:
            return False
        self._left -= 1
        return True

    def reserve(self, wanted: int) -> int:
        """Takes up to `wanted` retries out and returns how many."""
        lent = max(0, min(wanted, self._left))
        self._left -= lent
        return lent

    def reserve_half(self, wanted: int) -> int:
        """Lends at most the larger half, so that a second child gets some."""
        return self.reserve(min(wanted, (self._left + 1) // 2))

    def release(self, unspent: int) -> None:
        """Puts back what a child did not spend, unless already settled."""
        if not self._settled:
            self._left += max(0, unspent)

    def close(self) -> int:
        """Takes everything out for the answer; later returns are lost."""
        self._settled = True
        left, self._left = self._left, 0
        return left
